interface Load {
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly keyValueUsedShare: number;
}

const SAMPLE_INTERVAL_MS = 10;
const EMPTY_LOAD: Load = { runningRequests: 0, waitingRequests: 0, keyValueUsedShare: 0 };

/** Reports the load of the engine with a fixed delay. */
export class LoadReporter implements Disposable {
  private samples: { readonly atMs: number; readonly load: Load }[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly lagMs: number,
    readLoad: () => Load,
  ) {
    this.timer = setInterval(() => {
      this.recordSample(readLoad());
    }, SAMPLE_INTERVAL_MS);
  }

  /** Returns the newest sample that is at least `lagMs` old, with its age in milliseconds. */
  read(): Load & { readonly ageMs: number } {
    const nowMs = performance.now();
    const latestVisible = this.samples.findLast(({ atMs }) => atMs <= nowMs - this.lagMs);
    return {
      ...(latestVisible?.load ?? EMPTY_LOAD),
      ageMs: Math.round(nowMs - (latestVisible?.atMs ?? nowMs)),
    };
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private recordSample(load: Load): void {
    const atMs = performance.now();
    this.samples.push({ atMs, load });
    const firstHiddenIndex = this.samples.findIndex((sample) => sample.atMs > atMs - this.lagMs);
    if (firstHiddenIndex > 1) {
      this.samples = this.samples.slice(firstHiddenIndex - 1);
    }
  }
}
