import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

interface CacheEvent {
  readonly sequence: number;
  readonly fingerprint: number;
  readonly evicted: boolean;
}

interface CacheEventFeedSettings {
  readonly seed: number;
  readonly lagMs: number;
  readonly gapShare: number;
}

const MAX_KEPT_EVENTS = 4_096;

/** Feed of prefix cache changes. It publishes them late and loses some, as a real feed may. */
export class CacheEventFeed {
  private events: { readonly publishedAtMs: number; readonly event: CacheEvent }[] = [];
  private sequence = 0;
  private readonly random;

  constructor(private readonly settings: CacheEventFeedSettings) {
    this.random = xoroshiro128plus(settings.seed);
  }

  /**
   * Publishes a change. A random share of changes is lost and leaves a gap in the sequence
   * numbers.
   */
  publish(fingerprint: number, isEvicted: boolean): void {
    this.sequence += 1;
    if (uniformFloat64(this.random) < this.settings.gapShare) {
      return;
    }
    const event = { sequence: this.sequence, fingerprint, evicted: isEvicted };
    this.events.push({ publishedAtMs: performance.now(), event });
    this.events = this.events.slice(-MAX_KEPT_EVENTS);
  }

  /** Returns the events from a sequence number on that are at least `lagMs` old. */
  read(fromSequence: number): { readonly next: number; readonly events: readonly CacheEvent[] } {
    const visibleUntilMs = performance.now() - this.settings.lagMs;
    const events = this.events
      .filter(
        ({ publishedAtMs, event }) =>
          publishedAtMs <= visibleUntilMs && event.sequence >= fromSequence,
      )
      .map(({ event }) => event);
    return { next: (events.at(-1)?.sequence ?? fromSequence - 1) + 1, events };
  }
}
