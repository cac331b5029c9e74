import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerHeaders } from './answerHeaders.js';
import type { CallHeaders } from './callHeaders.js';

/** How calls are spelled between callers, entries and targets. */
export interface CallCodec {
  readonly readCall: (headers: IncomingHttpHeaders) => CallHeaders;
  /** Lower-case names of headers of a caller that never reach a target, or only as the entry sets them. */
  readonly ownHeaders: ReadonlySet<string>;
  /** Names and values in turn that the entry adds for a target. */
  readonly writeCall: (call: {
    readonly remainingMs: number;
    readonly targetId: string;
    readonly team?: string;
    readonly lastEventId?: string;
  }) => readonly string[];
  readonly readAnswer: (status: number, headers: IncomingHttpHeaders) => AnswerHeaders;
}
