import type { BurnPoint } from './burnPoint.js';
import type { BurnRow } from './burnRow.js';

/** Service-level burn report over two windows that end at the same moment. */
export interface BurnReport {
  /** End of both windows on the wall clock, in milliseconds. */
  readonly untilMs: number;
  readonly longWindowMs: number;
  readonly shortWindowMs: number;
  readonly presetInForce: string | undefined;
  readonly tiers: readonly BurnRow[];
  readonly teams: readonly BurnRow[];
  readonly timeline: readonly BurnPoint[];
}
