import type { IncomingHttpHeaders } from 'node:http';
import type { ResponseFault, SendFailure } from '@parsleyhall/routing';
import type { RawHeaders } from '../requests/rawHeaders.js';

/** Handles a target's response as it arrives. */
export interface ResponseSink {
  readonly handleHead: (
    status: number,
    headers: IncomingHttpHeaders,
    rawHeaders: RawHeaders,
  ) => void;
  /** Returns whether more bytes can be handled now; if not, reading pauses until the exchange is resumed. */
  readonly handleBytes: (bytes: Buffer) => boolean;
  /** Called once all bytes have arrived. */
  readonly handleEnd: () => void;
  /** Called if the exchange is cancelled before its end; nothing is called afterwards. */
  readonly handleCancel: () => void;
  /** `fault` tells what was wrong with the head of a malformed response. */
  readonly handleFailure: (failure: SendFailure, error: Error, fault?: ResponseFault) => void;
}
