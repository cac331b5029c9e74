import type { IncomingHttpHeaders } from 'node:http';
import type { SendFailure } from '@parsleyhall/routing';

/** Reports the response to one send to the scheduler. */
export interface SendReporter {
  /** Returns whether the response is to be relayed to the caller. */
  readonly reportHead: (status: number, headers: IncomingHttpHeaders) => boolean;
  readonly reportProgress: () => void;
  readonly reportEnd: (events: number) => void;
  readonly reportFailure: (failure: SendFailure) => void;
}
