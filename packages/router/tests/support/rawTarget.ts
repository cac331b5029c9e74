import type { RawRequest } from './rawRequest.js';

/** A target whose responses are the bytes that the test writes. */
export interface RawTarget extends AsyncDisposable {
  readonly address: string;
  /** Number of connections accepted so far. */
  readonly countConnections: () => number;
  /** Number of requests received so far. */
  readonly countRequests: () => number;
  /** Resolves with the next request of the queue. */
  readonly nextRequest: () => Promise<RawRequest>;
}
