import type { IncomingMessage, ServerResponse } from 'node:http';

/** Where whole requests wait until the process may turn to them. */
export interface Intake {
  readonly take: (received: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** The earliest moment at which it may have come, in milliseconds of the steady clock. */
    readonly unreadSinceMs: number;
    readonly start: () => void;
    /** Its caller has left; it was not started and never will be. */
    readonly drop: () => void;
  }) => void;
}
