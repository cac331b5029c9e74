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

const MAXIMUM_KEPT = 4_096;

/** Changes of the prefix cache, published late and with gaps. */
export class CacheEventFeed {
  private events: { readonly atMs: number; readonly event: CacheEvent }[] = [];
  private sequence = 0;
  private readonly random;

  constructor(private readonly settings: CacheEventFeedSettings) {
    this.random = xoroshiro128plus(settings.seed);
  }

  /** Notes a change; some are lost. */
  publish(fingerprint: number, isEvicted: boolean): void {
    this.sequence += 1;
    if (uniformFloat64(this.random) < this.settings.gapShare) {
      return;
    }
    const event = { sequence: this.sequence, fingerprint, evicted: isEvicted };
    this.events.push({ atMs: performance.now(), event });
    this.events = this.events.slice(-MAXIMUM_KEPT);
  }

  /** The events from a sequence number on that are old enough to show. */
  read(from: number): { readonly next: number; readonly events: readonly CacheEvent[] } {
    const shownUntilMs = performance.now() - this.settings.lagMs;
    const events = this.events
      .filter(({ atMs, event }) => atMs <= shownUntilMs && event.sequence >= from)
      .map(({ event }) => event);
    return { next: (events.at(-1)?.sequence ?? from - 1) + 1, events };
  }
}
