import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallHeaders } from '../calls/callHeaders.js';

/** A caller with its whole request, waiting for the answer. */
export interface Caller {
  readonly requestId: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly headers: CallHeaders;
  readonly body: Buffer;
}
