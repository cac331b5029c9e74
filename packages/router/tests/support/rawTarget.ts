import type { RawRequest } from './rawRequest.js';

/** A target that speaks whatever bytes the test writes. */
export interface RawTarget extends AsyncDisposable {
  readonly address: string;
  /** Connections that were made so far. */
  readonly countConnections: () => number;
  /** Resolves with each request of the queue in turn. */
  readonly nextRequest: () => Promise<RawRequest>;
}
