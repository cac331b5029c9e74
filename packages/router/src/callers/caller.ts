import type { IncomingMessage, ServerResponse } from 'node:http';
import type { StoredBody } from '../memory/storedBody.js';
import type { RequestHeaders } from '../requests/requestHeaders.js';

/** A caller whose request was read completely and that waits for the response. */
export interface Caller {
  readonly requestId: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly headers: RequestHeaders;
  readonly body: StoredBody;
}
