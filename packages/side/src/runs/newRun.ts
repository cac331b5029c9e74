import { List } from 'immutable';
import type { Run } from './run.js';

/** A run that has just been called on the target. */
export const newRun = (
  start: Omit<
    Run,
    | 'head'
    | 'chunks'
    | 'nextOffset'
    | 'tokens'
    | 'isPrefilled'
    | 'lastTokenAtMs'
    | 'keptUntilMs'
    | 'usage'
    | 'failure'
  >,
): Run => ({
  ...start,
  head: undefined,
  chunks: List(),
  nextOffset: start.keptFrom,
  tokens: 0,
  isPrefilled: false,
  lastTokenAtMs: undefined,
  keptUntilMs: undefined,
  usage: undefined,
  failure: undefined,
});
