import type { CallerKind } from './callerKind.js';

/** A crowd: in each wave its kinds of callers come all at once. */
export interface DrawnCrowd {
  readonly waves: readonly (readonly CallerKind[])[];
}
