import { getAnswerBody } from '../history/getAnswerBody.js';
import type { History } from '../history/history.js';
import type { SentRequest } from '../history/sentRequest.js';
import type { TargetRun } from '../history/targetRun.js';
import type { Breach } from './breach.js';
import { isDisturbed } from './isDisturbed.js';

const NOT_RUN = new Set([429, 503]);
const OK = 200;
/** A request may reach a target so long after its caller has left, in milliseconds. */
const GONE_MS = 500;
const LEAST_SERVED_SHARE = 0.5;

type RunsById = ReadonlyMap<string, readonly TargetRun[]>;

const checkRuns = (request: SentRequest, runs: readonly TargetRun[]): readonly Breach[] => [
  ...(request.kind !== 'idempotent' && runs.length > 1
    ? [{ promise: 'ranTwice', detail: `${request.id} ran ${runs.length} times` } as const]
    : []),
  ...(request.status !== undefined && NOT_RUN.has(request.status) && runs.length > 0
    ? [
        {
          promise: 'ranThoughRefused',
          detail: `${request.id} ran and was answered ${request.status}`,
        } as const,
      ]
    : []),
];

const checkAnswer = ({ id, kind, status, isWhole, body }: SentRequest): readonly Breach[] => {
  if (status !== OK) {
    return [];
  }
  const expected = getAnswerBody(id, kind);
  const isRight = isWhole ? body === expected : expected.startsWith(body);
  return isRight
    ? []
    : [{ promise: 'foreignAnswer', detail: `${id} got ${JSON.stringify(body.slice(0, 80))}` }];
};

const checkLeft = (
  history: History,
  { id, entry, sentMs, leftMs }: SentRequest,
  runs: readonly TargetRun[],
): readonly Breach[] =>
  runs.flatMap(({ earliestMs, isPathHarmed }) => {
    const isLate = leftMs !== undefined && !isPathHarmed && earliestMs - leftMs > GONE_MS;
    if (!isLate || isDisturbed(history, entry, { fromMs: sentMs, untilMs: earliestMs })) {
      return [];
    }
    const detail = `${id} reached a target ${Math.round(earliestMs - leftMs)} ms after its caller left`;
    return [{ promise: 'ranForNobody', detail }];
  });

const checkStops = (history: History, runs: RunsById): readonly Breach[] =>
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
            request.sentMs < fromMs &&
            request.endedMs >= fromMs &&
            request.endedMs <= untilMs &&
            runs.get(request.id)?.every((run) => !run.isFaulty && !run.isPathHarmed) === true,
        )
        .map(({ id }) => ({
          promise: 'cutByStop' as const,
          detail: `${id} was cut by the planned stop of entry ${entry}`,
        })),
    );

const checkCalm = ({ requests, calmFromMs }: History): readonly Breach[] => {
  const late = requests.filter(
    ({ sentMs, leftMs }) => sentMs >= calmFromMs && leftMs === undefined,
  );
  const served = late.filter(({ status, isWhole }) => status === OK && isWhole).length;
  return served >= late.length * LEAST_SERVED_SHARE
    ? []
    : [{ promise: 'notServedAfter', detail: `${served} of ${late.length} were served at the end` }];
};

/** What a run broke of what was promised; judged by what callers and targets saw alone. */
export const findBreaches = (history: History): readonly Breach[] => {
  const runs = new Map<string, TargetRun[]>();
  history.runs.forEach((run) => {
    runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
  });
  return [
    ...history.requests.flatMap((request) => {
      const own = runs.get(request.id) ?? [];
      return [
        ...checkRuns(request, own),
        ...checkAnswer(request),
        ...checkLeft(history, request, own),
      ];
    }),
    ...checkStops(history, runs),
    ...checkCalm(history),
  ];
};
