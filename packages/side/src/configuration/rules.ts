import type { TeamName, Tier } from '@parsleyhall/common';

/** What the order, the window and the shedding read of the configuration in force; times in milliseconds. */
export interface Rules {
  readonly hasPreset: boolean;
  readonly lowestTierAdmitted: Tier;
  /** Share of the window kept free for tier one, from 0 to 1. */
  readonly tierOneReservedShare: number;
  /** Bounds of tier one; undefined without one. */
  readonly firstTokenBoundMs: number | undefined;
  readonly betweenTokensBoundMs: number | undefined;
  /** Time within which work of each tier has to be done, from tier 1 to 4. */
  readonly horizonsMs: readonly [number, number, number, number];
  readonly weights: ReadonlyMap<TeamName, number>;
}
