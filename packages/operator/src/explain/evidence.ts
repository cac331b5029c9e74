import type { ParsedLogLine } from './parsedLogLine.js';

/** The log lines that explain one request. */
export interface Evidence {
  /** Lines about the request, grouped by process, in the order in which they were read. */
  readonly byProcess: readonly (readonly ParsedLogLine[])[];
  /** The line that logs the end of the request; undefined when no process logged it. */
  readonly finalLine: ParsedLogLine | undefined;
  /** Sends of the request that got no complete response. */
  readonly failedSends: readonly ParsedLogLine[];
  /** Failed sends of other requests to the target of the last failed send, at about the same time. */
  readonly similarFailures: readonly ParsedLogLine[];
  /** Lines of the same processes about no request, but about themselves or the request's targets, at about the same time. */
  readonly around: readonly ParsedLogLine[];
}
