import type { PathState } from './pathState.js';

/** A target of the soak. */
export interface SoakTarget extends AsyncDisposable {
  readonly name: string;
  readonly address: string;
  /** It resets part of its requests. */
  areResetsOn: boolean;
  isSlow: boolean;
  readonly setPath: (state: PathState) => void;
}
