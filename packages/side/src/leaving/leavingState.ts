/** Why this process takes no new work, and whether it has said that it is finished. */
export interface LeavingState {
  readonly isHostLeaving: boolean;
  readonly isDrained: boolean;
  readonly isStopRequested: boolean;
  readonly hasStopped: boolean;
}
