import type { IncomingHttpHeaders } from 'node:http';
import type { RequestId } from '@parsleyhall/common';

/** A request as received, with its complete body. */
export interface ReceivedRequest {
  readonly requestId: RequestId;
  readonly method: string;
  /** Path with query, as sent. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Uint8Array;
  /** Time of arrival on the monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number;
}
