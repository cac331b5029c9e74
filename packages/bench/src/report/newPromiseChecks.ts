import type { CallOutcome } from '../load/callOutcome.js';
import type { EngineRun } from './engineRun.js';
import { getAttemptLabels } from './getAttemptLabels.js';
import type { PromiseChecks } from './promiseChecks.js';
import type { RunRecord } from './runRecord.js';

const SHORTLY_MS = 200;

const getRefusedLabels = (outcome: CallOutcome): readonly string[] => {
  const labels = getAttemptLabels(outcome);
  return outcome.result === 'notRun' ? labels : labels.slice(0, -1);
};

interface Shedding {
  readonly tier: number;
  readonly atMs: number;
}

const getSheddings = (outcome: CallOutcome): readonly Shedding[] => {
  const { call, sentAtMs, refusals, result, reason, endMs } = outcome;
  const last = result === 'notRun' ? [{ reason, atMs: endMs }] : [];
  return [...refusals, ...last]
    .filter((refusal) => refusal.reason === 'shed')
    .map(({ atMs }) => ({ tier: call.tier, atMs: sentAtMs + atMs }));
};

const countOutOfOrder = (
  outcomes: readonly CallOutcome[],
  runs: ReadonlyMap<string, EngineRun>,
): number => {
  const engineCalls = outcomes.filter(({ call }) => call.work.type === 'engine');
  const starts = engineCalls.flatMap((outcome) =>
    getAttemptLabels(outcome).flatMap((label) => {
      const run = runs.get(label);
      return run === undefined ? [] : [{ tier: outcome.call.tier, atMs: run.arrivedAtMs }];
    }),
  );
  const isOutOfOrder = ({ tier, atMs }: Shedding): boolean =>
    starts.some(
      (start) => start.tier > tier && start.atMs > atMs && start.atMs <= atMs + SHORTLY_MS,
    );
  return engineCalls.flatMap(getSheddings).filter(isOutOfOrder).length;
};

/** Looks for broken promises in a run. */
export const newPromiseChecks = (
  { outcomes, serviceRunsByKey }: RunRecord,
  runs: ReadonlyMap<string, EngineRun>,
): PromiseChecks => ({
  dispatchedTwice: [...runs.values()].filter((run) => run.runs > 1).length,
  ranThoughNotRun: outcomes
    .flatMap(getRefusedLabels)
    .filter((label) => (runs.get(label)?.runs ?? 0) > 0).length,
  keysRunTwice: Object.values(serviceRunsByKey).filter((count) => count > 1).length,
  wrongAnswers: outcomes.filter(({ result }) => result === 'wrong').length,
  shedBeforeLowerTier: countOutOfOrder(outcomes, runs),
});
