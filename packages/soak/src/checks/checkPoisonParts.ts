import type { History } from '../history/history.js';
import { isDisturbed } from './isDisturbed.js';
import type { Violation } from './violation.js';

/** After so many crashes the entries have to know the part. */
const CRASHES_UNTIL_KNOWN = 5;
/** Time that they have for it. */
const REACTION_MS = 3_000;
/** Requests with the part that may reach targets after that. */
const TOLERATED_RUNS = 3;

/** Finds parts of prompts that went on crashing targets; runs through disturbed entries are excused. */
export const checkPoisonParts = (history: History): readonly Violation[] => {
  const parts = new Set(history.crashes.map(({ part }) => part));
  const entryById = new Map(history.requests.map(({ id, entry }) => [id, entry]));
  return [...parts].flatMap((part) => {
    const crashes = history.crashes.filter((crash) => crash.part === part);
    const knownFromMs = (crashes[CRASHES_UNTIL_KNOWN - 1]?.atMs ?? Infinity) + REACTION_MS;
    const lateRuns = history.runs.filter(({ id, earliestMs, promptParts }) => {
      const entry = entryById.get(id);
      return (
        promptParts.includes(part) &&
        earliestMs > knownFromMs &&
        entry !== undefined &&
        !isDisturbed(history, entry, { fromMs: earliestMs, untilMs: earliestMs })
      );
    });
    return lateRuns.length <= TOLERATED_RUNS
      ? []
      : [
          {
            guarantee: 'crashedOn',
            detail: `${lateRuns.length} requests with ${part} reached targets although it had crashed ${crashes.length}`,
          },
        ];
  });
};
