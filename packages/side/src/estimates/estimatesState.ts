import type { Map } from 'immutable';
import type { BatchFit } from './batchFit.js';
import type { LengthEstimate } from './lengthEstimate.js';

/** What this process has learned of its target's speed and of the lengths of work; times in milliseconds. */
export interface EstimatesState {
  readonly prefillTokensPerMs: number;
  /** Time to the first token besides the prefill. */
  readonly firstTokenBaseMs: number;
  readonly betweenTokens: BatchFit;
  /** Time between tokens of late, which follows a slowed target within a few tokens. */
  readonly recentBetweenTokensMs: number;
  /** Response time of a service. */
  readonly responseMs: number;
  /** Answer lengths by team and kind, in two generations of bounded size. */
  readonly lengths: Map<string, LengthEstimate>;
  readonly olderLengths: Map<string, LengthEstimate>;
  /** Moving mean of the finish time's error as a share of the predicted duration. */
  readonly finishErrorShare: number;
  /** Moving mean of the answer length's error as a share of the predicted length. */
  readonly lengthErrorShare: number;
}
