import type { FrameContent } from './frameContent.js';

/** The content of a received frame. */
export interface DecodedContent extends FrameContent {
  /** Counts by target that were left out for lack of their names. */
  readonly unresolvedTargets: number;
  /** Counts by team that were left out for lack of their names. */
  readonly unresolvedTeams: number;
}
