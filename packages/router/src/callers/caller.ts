import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallHeaders } from '../requests/callHeaders.js';

/** A caller whose request was read completely and that waits for the response. */
export interface Caller {
  readonly requestId: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly headers: CallHeaders;
  readonly body: Buffer;
}
