import type { IncomingHttpHeaders } from 'node:http';
import type { SendFailure } from '@parsleyhall/routing';

/** What a sink tells the scheduler of one send. */
export interface SinkEvents {
  /** Answers whether the answer is handed on to the caller. */
  readonly began: (status: number, headers: IncomingHttpHeaders) => boolean;
  readonly wentOn: () => void;
  readonly ended: (events: number) => void;
  readonly failed: (failure: SendFailure) => void;
}
