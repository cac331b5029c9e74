import type { History } from '../history/history.js';
import type { RequestKind } from '../history/requestKind.js';
import type { SentRequest } from '../history/sentRequest.js';
import type { TargetRun } from '../history/targetRun.js';
import type { Violation } from './violation.js';
import { checkAnswer } from './checkAnswer.js';
import { checkPoisonParts } from './checkPoisonParts.js';
import { checkLimits } from './checkLimits.js';
import { checkStatus } from './checkStatus.js';
import { isDisturbed } from './isDisturbed.js';

/** Statuses that assure the caller that its request did not run. */
const NOT_RUN_STATUSES = new Set([429, 503]);
const STATUS_OK = 200;
/** A request may still reach a target for this long after its caller has disconnected. */
const MAX_RUN_DELAY_AFTER_ABORT_MS = 500;
/** Share of the requests after all faults that has to be served. */
const MIN_SERVED_SHARE = 0.5;

/** Requests of these kinds may run at several targets. */
const REPEATABLE_KINDS = new Set<RequestKind>(['idempotent', 'resumableStream']);

type RunsById = ReadonlyMap<string, readonly TargetRun[]>;

const checkRuns = (request: SentRequest, runs: readonly TargetRun[]): readonly Violation[] => [
  ...(!REPEATABLE_KINDS.has(request.kind) && runs.length > 1
    ? [{ guarantee: 'ranTwice', detail: `${request.id} ran ${runs.length} times` } as const]
    : []),
  ...(request.status !== undefined && NOT_RUN_STATUSES.has(request.status) && runs.length > 0
    ? [
        {
          guarantee: 'ranThoughRefused',
          detail: `${request.id} ran although its response had status ${request.status}`,
        } as const,
      ]
    : []),
];

const checkAborted = (
  history: History,
  { id, entry, sentMs, leftMs }: SentRequest,
  runs: readonly TargetRun[],
): readonly Violation[] =>
  runs.flatMap(({ earliestMs, isPathHarmed }) => {
    const isLate =
      leftMs !== undefined && !isPathHarmed && earliestMs - leftMs > MAX_RUN_DELAY_AFTER_ABORT_MS;
    if (!isLate || isDisturbed(history, entry, { fromMs: sentMs, untilMs: earliestMs })) {
      return [];
    }
    const detail = `${id} reached a target ${Math.round(earliestMs - leftMs)} ms after its caller disconnected`;
    return [{ guarantee: 'ranForNobody', detail }];
  });

const hasCrashedMeanwhile = (
  { crashes }: History,
  { target, earliestMs }: TargetRun,
  untilMs = Infinity,
): boolean =>
  crashes.some(
    (crash) => crash.target === target && crash.atMs >= earliestMs && crash.atMs <= untilMs,
  );

const checkGracefulShutdowns = (history: History, runsById: RunsById): readonly Violation[] =>
  history.disturbances
    .filter(({ kind }) => kind === 'stopped')
    .flatMap(({ entry, fromMs, untilMs = Infinity }) =>
      history.requests
        .filter(
          (request) =>
            request.entry === entry &&
            request.leftMs === undefined &&
            !request.isWhole &&
            request.endedMs !== undefined &&
            request.endedMs >= fromMs &&
            request.endedMs <= untilMs &&
            runsById
              .get(request.id)
              ?.every(
                (run) =>
                  !run.isFaulty &&
                  !run.isPathHarmed &&
                  !hasCrashedMeanwhile(history, run, request.endedMs),
              ) === true,
        )
        .map(({ id }) => ({
          guarantee: 'cutByStop' as const,
          detail: `${id} was cut off by the graceful shutdown of entry ${entry}`,
        })),
    );

const checkRecovery = ({ requests, calmFromMs }: History): readonly Violation[] => {
  const requestsAfterFaults = requests.filter(
    ({ sentMs, leftMs }) => sentMs >= calmFromMs && leftMs === undefined,
  );
  const servedCount = requestsAfterFaults.filter(
    ({ status, isWhole }) => status === STATUS_OK && isWhole,
  ).length;
  return servedCount >= requestsAfterFaults.length * MIN_SERVED_SHARE
    ? []
    : [
        {
          guarantee: 'notServedAfter',
          detail: `${servedCount} of ${requestsAfterFaults.length} requests were served after the faults`,
        },
      ];
};

/** Finds the guarantees that a run violated, judged only by what callers and targets observed. */
export const findViolations = (history: History): readonly Violation[] => {
  const runsById = new Map<string, TargetRun[]>();
  history.runs.forEach((run) => {
    runsById.set(run.id, [...(runsById.get(run.id) ?? []), run]);
  });
  return [
    ...history.requests.flatMap((request) => {
      const requestRuns = runsById.get(request.id) ?? [];
      return [
        ...checkRuns(request, requestRuns),
        ...checkAnswer(request, requestRuns),
        ...checkStatus(request),
        ...checkAborted(history, request, requestRuns),
      ];
    }),
    ...checkGracefulShutdowns(history, runsById),
    ...checkPoisonParts(history),
    ...checkLimits(history),
    ...checkRecovery(history),
  ];
};
