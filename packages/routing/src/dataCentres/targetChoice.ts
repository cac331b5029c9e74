import type { TargetPrediction } from '../targets/targetPrediction.js';
import type { Placement } from './placement.js';

/** The target that a request is sent to, what is predicted there, and why it is at home or not. */
export interface TargetChoice extends Pick<
  TargetPrediction,
  'candidate' | 'firstEventMs' | 'durationMs'
> {
  readonly placement: Placement;
}
