import { MS_PER_SECOND } from '@parsleyhall/common';
import type { History } from '../history/history.js';
import type { TargetRun } from '../history/targetRun.js';
import { isDisturbed } from './isDisturbed.js';
import type { Violation } from './violation.js';

const WINDOW_MS = 4_000;
/** A limit has to be kept from this time after it was first stated. */
const REACTION_MS = 3_000;
const TOLERANCE_FACTOR = 1.5;
const TOLERANCE = 5;

type LimitedRun = TargetRun & { readonly limit: NonNullable<TargetRun['limit']> };

const isLimited = (run: TargetRun): run is LimitedRun =>
  run.limit !== undefined && run.earliestMs >= run.limit.sinceMs + REACTION_MS;

/** Finds targets that got more requests than they had stated to take; runs through disturbed entries are excused. */
export const checkLimits = (history: History): readonly Violation[] => {
  const entryById = new Map(history.requests.map(({ id, entry }) => [id, entry]));
  const runs = history.runs.filter(isLimited).filter(({ id, earliestMs }) => {
    const entry = entryById.get(id);
    const window = { fromMs: earliestMs, untilMs: earliestMs };
    return entry !== undefined && !isDisturbed(history, entry, window);
  });
  return runs.flatMap((first) => {
    const { perSecond } = first.limit;
    const allowed = TOLERANCE_FACTOR * perSecond * (WINDOW_MS / MS_PER_SECOND) + TOLERANCE;
    const count = runs.filter(
      ({ target, limit, earliestMs }) =>
        target === first.target &&
        limit.sinceMs === first.limit.sinceMs &&
        earliestMs >= first.earliestMs &&
        earliestMs < first.earliestMs + WINDOW_MS,
    ).length;
    return count <= allowed
      ? []
      : [
          {
            guarantee: 'beyondLimit',
            detail: `${first.target} got ${count} requests in ${WINDOW_MS} ms, allowed ${allowed}`,
          },
        ];
  });
};
