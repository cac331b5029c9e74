import type { Line } from './line.js';

/** What the lines hold about one request. */
export interface Evidence {
  /** Lines about the request, by process, each process's in its own order. */
  readonly byProcess: readonly (readonly Line[])[];
  /** The line that ended it; undefined where no process wrote one. */
  readonly last: Line | undefined;
  /** Sends of the request that brought no whole answer. */
  readonly failedSends: readonly Line[];
  /** Failed sends of other requests to the target of its last failed send, at about that time. */
  readonly alike: readonly Line[];
  /** What the request's own processes told of themselves or of its targets at about that time. */
  readonly around: readonly Line[];
}
