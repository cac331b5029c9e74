import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Refusal, RoutingEffect } from '@parsleyhall/routing';
import type { StoredBody } from '../memory/storedBody.js';

/** The open requests of this process: those without a final response, with their callers' connections. */
export interface RequestTable extends AsyncDisposable {
  /** Adds a request that was read completely, and passes it to the scheduler. */
  readonly add: (received: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: StoredBody;
    /** When its head was read, in milliseconds of the monotonic clock. */
    readonly readAtMs: number;
    /** The earliest moment at which it may have arrived, by the same clock. */
    readonly earliestArrivalAtMs: number;
  }) => void;
  readonly startSend: (send: Extract<RoutingEffect, { type: 'send' }>) => void;
  readonly cancelSend: (requestId: number, sendId: number) => void;
  /** Responds to the caller with a refusal, or breaks off a response that has begun. */
  readonly refuse: (requestId: number, refusal: Refusal) => void;
  /** Destroys the caller's connection, so that a response that has begun does not look complete. */
  readonly abort: (requestId: number) => void;
}
