import type { FaultKind } from '../schedule/faultKind.js';
import type { History } from '../world/history.js';
import type { Observation } from './observation.js';
import type { ObservedRequest } from './observedRequest.js';
import type { Violation } from './violation.js';

type Fact = History['facts'][number];

/** With nothing but these, whatever was in flight at a planned stop has to come to its whole answer. */
const HARMLESS: readonly FaultKind[] = [
  'stopEntry',
  'stopSide',
  'drain',
  'listLeaving',
  'publish',
  'raceOperators',
];

const newViolation = (atMs: number, subject: string, detail: string): Violation => ({
  promise: 'plannedStopCutsNothing',
  atMs,
  subject,
  detail,
});

/** True while somebody still waits for the answer. */
const isOpenAt = (
  { finalAtMs = Infinity, hungUpAtMs = Infinity, cutAtMs = Infinity }: ObservedRequest,
  atMs: number,
): boolean => Math.min(finalAtMs, hungUpAtMs, cutAtMs) > atMs;

const getRunEnd = (history: History, requestId: string): number =>
  history.facts.find((fact) => fact.type === 'runEnded' && fact.requestId === requestId)?.atMs ??
  Infinity;

const isRunningAt = (
  history: History,
  { runs }: ObservedRequest,
  side: string,
  atMs: number,
): boolean =>
  runs.some(
    (run) => run.side === side && run.atMs <= atMs && getRunEnd(history, run.requestId) > atMs,
  );

/** The life that ended with the stop began here. */
const getLifeStart = (history: History, process: string, stoppedAtMs: number): number =>
  history.facts.findLast(
    (fact) => fact.type === 'processStarted' && fact.process === process && fact.atMs < stoppedAtMs,
  )?.atMs ?? 0;

const checkStopped = (
  { history, requests }: Observation,
  stop: Extract<Fact, { readonly type: 'processStopped' }>,
): readonly Violation[] => {
  const startedAtMs = getLifeStart(history, stop.process, stop.atMs);
  return requests
    .filter(({ arrival, runs, ...rest }) => {
      const isOwn = arrival.entry === stop.process && arrival.atMs >= startedAtMs;
      const isRun = runs.some(({ atMs }) => atMs >= startedAtMs);
      const request = { arrival, runs, ...rest };
      return (
        arrival.atMs <= stop.atMs &&
        isOpenAt(request, stop.atMs) &&
        (isOwn || (isRun && isRunningAt(history, request, stop.process, stop.atMs)))
      );
    })
    .map(({ arrival }) =>
      newViolation(stop.atMs, arrival.requestId, `in flight when ${stop.process} ended`),
    );
};

const checkHarmlessStop = (
  { history, requests }: Observation,
  stop: Extract<Fact, { readonly type: 'stopRequested' }>,
): readonly Violation[] =>
  requests
    .filter(
      (request) =>
        request.hungUpAtMs === undefined &&
        request.arrival.atMs <= stop.atMs &&
        isOpenAt(request, stop.atMs) &&
        (request.arrival.entry === stop.process ||
          isRunningAt(history, request, stop.process, stop.atMs)),
    )
    .filter(
      ({ isWhole, runs, failure }) =>
        !isWhole &&
        (runs.length > 0 || (failure?.type === 'notRun' && failure.reason === 'draining')),
    )
    .map(({ arrival, failure }) =>
      newViolation(
        stop.atMs,
        arrival.requestId,
        `cut by the stop of ${stop.process}: ${JSON.stringify(failure)}`,
      ),
    );

/** A process that stops by plan ends with nothing in flight, and nothing that was in flight is cut by it. */
export const checkPlannedStops = (observation: Observation): readonly Violation[] => {
  const isHarmless = observation.schedule.faults.every(({ kind }) => HARMLESS.includes(kind));
  return observation.history.facts.flatMap((fact) => {
    if (fact.type === 'processStopped') {
      return checkStopped(observation, fact);
    }
    return fact.type === 'stopRequested' && isHarmless ? checkHarmlessStop(observation, fact) : [];
  });
};
