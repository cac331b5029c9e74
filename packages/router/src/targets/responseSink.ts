import type { IncomingHttpHeaders } from 'node:http';
import type { SendFailure } from '@parsleyhall/routing';
import type { RawHeaders } from '../requests/rawHeaders.js';

/** Handles a target's response as it arrives. */
export interface ResponseSink {
  /**
   * `hasFraming` is false if the response has neither Content-Length nor Transfer-Encoding. Such a response ends with its
   * connection, so its end does not prove that it is complete.
   */
  readonly handleHead: (
    status: number,
    headers: IncomingHttpHeaders,
    rawHeaders: RawHeaders,
    hasFraming: boolean,
  ) => void;
  /** Returns whether more bytes can be handled now; if not, reading pauses until the exchange is resumed. */
  readonly handleBytes: (bytes: Buffer) => boolean;
  /** Called once all bytes have arrived. */
  readonly handleEnd: () => void;
  readonly handleFailure: (failure: SendFailure, error: Error) => void;
}
