interface Load {
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly keyValueUsedShare: number;
}

const SAMPLE_PERIOD_MS = 10;
const EMPTY_LOAD: Load = { runningRequests: 0, waitingRequests: 0, keyValueUsedShare: 0 };

/** Reports load as it was some time ago. */
export class LoadReporter implements Disposable {
  private samples: { readonly atMs: number; readonly load: Load }[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly lagMs: number,
    readLoad: () => Load,
  ) {
    this.timer = setInterval(() => {
      this.sample(readLoad());
    }, SAMPLE_PERIOD_MS);
  }

  /** The load of the lag ago, with its age in milliseconds. */
  read(): Load & { readonly ageMs: number } {
    const nowMs = performance.now();
    const shown = this.samples.findLast(({ atMs }) => atMs <= nowMs - this.lagMs);
    return { ...(shown?.load ?? EMPTY_LOAD), ageMs: Math.round(nowMs - (shown?.atMs ?? nowMs)) };
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private sample(load: Load): void {
    const atMs = performance.now();
    this.samples.push({ atMs, load });
    const kept = this.samples.findIndex((sample) => sample.atMs > atMs - this.lagMs);
    if (kept > 1) {
      this.samples = this.samples.slice(kept - 1);
    }
  }
}
