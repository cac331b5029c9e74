import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Refusal, RoutingEffect } from '@parsleyhall/routing';

/** The requests of this process that have no final answer, with their connections. */
export interface CallTable extends AsyncDisposable {
  /** Takes a whole request in and tells the scheduler. */
  readonly take: (received: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly body: Buffer;
    /** When its head came, in milliseconds of the steady clock. */
    readonly readMs: number;
    /** The earliest moment at which it may have come, by the same clock. */
    readonly unreadSinceMs: number;
  }) => void;
  readonly startSend: (send: Extract<RoutingEffect, { type: 'send' }>) => void;
  readonly cancelSend: (requestId: number, sendId: number) => void;
  readonly answer: (requestId: number, refusal: Refusal) => void;
  readonly breakOff: (requestId: number) => void;
}
