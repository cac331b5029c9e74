import type { RoutingState } from '../routingState.js';
import type { PromptReport } from './promptReport.js';
import { shareQuarantines } from './shareQuarantines.js';
import { takeWithinSize } from './takeWithinSize.js';

/** News is repeated for this long, since a report may be lost. */
const REPEATED_MS = 10_000;

/** Each of the three lists has at most so many characters, so that a digest fits into a datagram. */
const MAX_LIST_CHARS = 12_288;

const isRecent = (atMs: number, nowMs: number): boolean => nowMs - atMs < REPEATED_MS;

/** What broke off at this entry lately, each request once, the latest first. */
const getEvidence = (
  { promptFaults: { suspicions } }: RoutingState,
  nowMs: number,
): PromptReport['evidence'] => {
  const evidence = new Map(
    [...suspicions.values()]
      .flatMap((suspicion) => suspicion.evidence)
      .filter(({ isLocal, isConfirmed, atMs }) => isLocal && isConfirmed && isRecent(atMs, nowMs))
      .map(({ targetStart, atMs, parts }) => [
        `${targetStart} ${parts.join()}`,
        { targetStart, ageMs: Math.round(nowMs - atMs), parts },
      ]),
  );
  return [...evidence.values()].sort((left, right) => left.ageMs - right.ageMs);
};

const getCleared = (
  { promptFaults: { suspicions } }: RoutingState,
  nowMs: number,
): readonly (readonly [string, number])[] =>
  [...suspicions]
    .flatMap(([part, { clearedAtMs, isClearedHere }]) =>
      clearedAtMs !== undefined && isClearedHere && isRecent(clearedAtMs, nowMs)
        ? [[part, Math.round(nowMs - clearedAtMs)] as const]
        : [],
    )
    .sort(([, left], [, right]) => left - right);

/** What this entry tells the others about prompt parts that crash targets; undefined if there is nothing to tell. */
export const newPromptReport = (state: RoutingState, nowMs: number): PromptReport | undefined => {
  const { quarantines } = state.promptFaults;
  const evidence = getEvidence(state, nowMs);
  const cleared = getCleared(state, nowMs);
  return evidence.length === 0 && cleared.length === 0 && quarantines.isEmpty()
    ? undefined
    : {
        evidence: takeWithinSize(evidence, MAX_LIST_CHARS),
        cleared: Object.fromEntries(takeWithinSize(cleared, MAX_LIST_CHARS)),
        quarantines: takeWithinSize(shareQuarantines(quarantines, nowMs), MAX_LIST_CHARS),
      };
};
