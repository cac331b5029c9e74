import { List } from 'immutable';
import type { Run } from './run.js';

/** A run that has just been called on the target. */
export const newRun = (
  start: Pick<
    Run,
    | 'grantId'
    | 'requestId'
    | 'work'
    | 'entry'
    | 'relayConnection'
    | 'phase'
    | 'startedAtMs'
    | 'deadlineMs'
    | 'prefillTokensAhead'
    | 'keptFrom'
  >,
): Run => ({
  ...start,
  head: undefined,
  chunks: List(),
  nextOffset: start.keptFrom,
  tokens: 0,
  firstTokenAtMs: undefined,
  lastTokenAtMs: undefined,
  endedAtMs: undefined,
  usage: undefined,
  failure: undefined,
});
