import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerHeaders } from './answerHeaders.js';
import type { CallHeaders } from './callHeaders.js';

/** Reads and writes the headers that callers, entries and targets exchange. */
export interface CallCodec {
  readonly readCall: (headers: IncomingHttpHeaders) => CallHeaders;
  /** Lower-case names of callers' headers that are not forwarded: a target gets them only with the entry's own values. */
  readonly ownHeaders: ReadonlySet<string>;
  /** Returns alternating names and values of the headers that the entry adds to a request to a target. */
  readonly writeCall: (call: {
    readonly remainingMs: number;
    readonly targetId: string;
    readonly team?: string;
    readonly lastEventId?: string;
  }) => readonly string[];
  readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerHeaders;
}
