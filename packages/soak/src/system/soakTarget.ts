import type { PathState } from './pathState.js';

/** A target of the soak. */
export interface SoakTarget extends AsyncDisposable {
  readonly name: string;
  readonly address: string;
  /** Whether it resets part of its requests. */
  readonly setResets: (areOn: boolean) => void;
  readonly setSlow: (isSlow: boolean) => void;
  readonly setPath: (state: PathState) => void;
}
