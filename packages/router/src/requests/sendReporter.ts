import type { IncomingHttpHeaders } from 'node:http';
import type { ResponseFault, SendFailure } from '@parsleyhall/routing';

/** Reports the response to one send to the scheduler. */
export interface SendReporter {
  /** Returns whether the response is to be relayed to the caller. */
  readonly reportHead: (status: number, headers: IncomingHttpHeaders) => boolean;
  /** Reports that the head of the response has been sent to the caller, with nothing that counts as progress. */
  readonly reportStarted: () => void;
  readonly reportProgress: () => void;
  /** Reports that no other target's response can continue what the caller has received of this one. */
  readonly reportCommitted: () => void;
  readonly reportEnd: (events: number) => void;
  /** `fault` tells what was wrong with a malformed response. */
  readonly reportFailure: (failure: SendFailure, fault?: ResponseFault) => void;
}
