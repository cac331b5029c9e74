import type { CallOutcome } from '../load/callOutcome.js';
import type { EngineRun } from './engineRun.js';
import { getAttemptLabels } from './getAttemptLabels.js';
import { isInTime } from './isInTime.js';
import type { WastedPrefill } from './wastedPrefill.js';

const TOKENS_PER_BLOCK = 64;

type Cause = Exclude<keyof WastedPrefill, 'prefixAgain'>;

const getCause = (outcome: CallOutcome): Cause => {
  switch (outcome.result) {
    case 'answered':
      return 'late';
    case 'hungUp':
      return 'hungUp';
    case 'notRun':
    case 'invalid':
      return 'refused';
    case 'wrong':
    case 'unknown':
    case 'cut':
    case 'silent':
      return 'lost';
  }
};

const sumPrefill = (outcome: CallOutcome, runs: ReadonlyMap<string, EngineRun>): number =>
  getAttemptLabels(outcome).reduce((sum, label) => sum + (runs.get(label)?.prefillTokens ?? 0), 0);

/** Tokens of shared prefixes computed by another than the first run with that prefix. */
const countPrefixAgain = (
  outcomes: readonly CallOutcome[],
  runs: ReadonlyMap<string, EngineRun>,
): number => {
  const seen = new Set<string>();
  const inOrder = outcomes
    .flatMap((outcome) => {
      const { work } = outcome.call;
      const run = runs.get(outcome.call.label);
      return work.type === 'engine' && run !== undefined && isInTime(outcome)
        ? [{ work, run }]
        : [];
    })
    .sort((left, right) => left.run.arrivedAtMs - right.run.arrivedAtMs);
  let tokens = 0;
  for (const { work, run } of inOrder) {
    const shared = Math.min(work.prefixTokens, work.promptTokens);
    const wholeBlocks = Math.floor(shared / TOKENS_PER_BLOCK) * TOKENS_PER_BLOCK;
    if (seen.has(work.prefix)) {
      tokens += Math.max(0, wholeBlocks - run.cachedTokens);
    }
    seen.add(work.prefix);
  }
  return tokens;
};

/** The prefill that was thrown away on a set of calls. */
export const getWastedPrefill = (
  outcomes: readonly CallOutcome[],
  runs: ReadonlyMap<string, EngineRun>,
): WastedPrefill => {
  const wasted = { late: 0, hungUp: 0, lost: 0, refused: 0 };
  for (const outcome of outcomes) {
    if (!isInTime(outcome)) {
      wasted[getCause(outcome)] += sumPrefill(outcome, runs);
    }
  }
  return { ...wasted, prefixAgain: countPrefixAgain(outcomes, runs) };
};
