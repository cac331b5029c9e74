import type { IncomingMessage, ServerResponse } from 'node:http';

/** Holds requests that were read completely until the process may start them. */
export interface StartQueue {
  /** Starts a request at once, or queues it while the process has to read or accept connections first. */
  readonly startOrEnqueue: (received: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** The earliest moment at which the request may have arrived, in milliseconds of the monotonic clock. */
    readonly earliestArrivalAtMs: number;
    readonly start: () => void;
    /** Called instead of `start` if the caller has left. */
    readonly discard: () => void;
  }) => void;
}
