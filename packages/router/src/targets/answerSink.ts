import type { IncomingHttpHeaders } from 'node:http';
import type { SendFailure } from '@parsleyhall/routing';
import type { RawHeaders } from '../calls/rawHeaders.js';

/** Takes a target's answer as it comes. */
export interface AnswerSink {
  /** `hasLength` is false where the answer ends with its connection, so that its end proves nothing. */
  readonly takeHead: (
    status: number,
    headers: IncomingHttpHeaders,
    raw: RawHeaders,
    hasLength: boolean,
  ) => void;
  /** Answers whether more may come at once. */
  readonly takeBytes: (bytes: Buffer) => boolean;
  /** All bytes came. */
  readonly takeEnd: () => void;
  readonly takeFailure: (failure: SendFailure, error: Error) => void;
}
