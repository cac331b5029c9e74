import type { History } from '../world/history.js';
import { getEntryIds } from '../world/getEntryIds.js';
import { getSideIds } from '../world/getSideIds.js';
import type { AcceptedChange } from './acceptedChange.js';
import { getAcceptedChanges } from './getAcceptedChanges.js';
import { getDueMs } from './getDueMs.js';
import { getFaultWindows } from './getFaultWindows.js';
import { getPauses } from './getPauses.js';
import { getStarts } from './getStarts.js';
import type { Observation } from './observation.js';
import type { Violation } from './violation.js';

const SPREAD_ALLOWANCE_MS = 1_000;

type Fact = History['facts'][number];
type InForce = Extract<Fact, { readonly type: 'configurationInForce' }>;

const newViolation = (atMs: number, subject: string, detail: string): Violation => ({
  promise: 'configurationInForce',
  atMs,
  subject,
  detail,
});

const isInForce = (fact: Fact): fact is InForce => fact.type === 'configurationInForce';

const checkReverts = (inForce: readonly InForce[]): readonly Violation[] => {
  const highest = new Map<string, number>();
  return inForce.flatMap(({ atMs, process, incarnation, configuration: { version } }) => {
    const before = highest.get(incarnation) ?? 0;
    highest.set(incarnation, Math.max(before, version));
    return version > before
      ? []
      : [newViolation(atMs, process, `version ${version} after ${before}`)];
  });
};

const checkContents = (
  inForce: readonly InForce[],
  accepted: readonly AcceptedChange[],
): readonly Violation[] =>
  inForce.flatMap(({ atMs, process, configuration }) => {
    const change = accepted.find(({ version }) => version === configuration.version);
    const isRight =
      change !== undefined &&
      change.presetInForce === configuration.presetInForce &&
      [...new Set(change.drainedHosts)].sort().join() ===
        [...configuration.drainedHosts].sort().join();
    const seen = `${String(configuration.presetInForce)} [${configuration.drainedHosts.join()}]`;
    return isRight
      ? []
      : [newViolation(atMs, process, `version ${configuration.version} held as ${seen}`)];
  });

const checkSpread = (
  { schedule, history }: Observation,
  inForce: readonly InForce[],
  accepted: readonly AcceptedChange[],
): readonly Violation[] => {
  const logFaults = getFaultWindows(schedule, ['logOutage', 'logSlow']);
  const processes = [...getEntryIds(), ...getSideIds()];
  const checkProcess = (process: string, change: AcceptedChange): readonly Violation[] => {
    const starts = getStarts(history, process).map((atMs) => ({ fromMs: 0, untilMs: atMs }));
    const hindrances = [...logFaults, ...getPauses(history, process), ...starts];
    const dueMs = getDueMs(change.atMs, SPREAD_ALLOWANCE_MS, hindrances);
    const incarnation = inForce.findLast(
      (fact) => fact.process === process && fact.atMs <= dueMs,
    )?.incarnation;
    const isHeld = inForce.some(
      (fact) =>
        fact.incarnation === incarnation &&
        fact.atMs <= dueMs &&
        fact.configuration.version >= change.version,
    );
    return isHeld || dueMs > history.endedAtMs
      ? []
      : [newViolation(dueMs, process, `version ${change.version} not in force in time`)];
  };
  return accepted.flatMap((change) =>
    processes.flatMap((process) => checkProcess(process, change)),
  );
};

const checkWinners = (
  { history }: Observation,
  accepted: readonly AcceptedChange[],
): readonly Violation[] =>
  history.facts.flatMap((fact) => {
    if (fact.type !== 'operatorTold') {
      return [];
    }
    const hasWon = accepted.some(({ publicationId }) => publicationId === fact.publicationId);
    return hasWon === fact.isAccepted
      ? []
      : [newViolation(fact.atMs, fact.publicationId, `told ${fact.isAccepted ? 'won' : 'lost'}`)];
  });

/**
 * Every process holds each accepted version within the allowance, as the log's records make it, with its one preset;
 * no process goes back; of two operators on one version one wins, and both are told the truth.
 */
export const checkConfigurationInForce = (observation: Observation): readonly Violation[] => {
  const inForce = observation.history.facts.filter(isInForce);
  const accepted = getAcceptedChanges(observation.history);
  return [
    ...checkReverts(inForce),
    ...checkContents(inForce, accepted),
    ...checkSpread(observation, inForce, accepted),
    ...checkWinners(observation, accepted),
  ];
};
