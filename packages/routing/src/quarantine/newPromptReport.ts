import type { RoutingState } from '../routingState.js';
import type { PromptReport } from './promptReport.js';
import { shareQuarantines } from './shareQuarantines.js';

/** News is repeated for this long, since a report may be lost. */
const REPEATED_MS = 10_000;

/** What this entry tells the others about prompt parts that crash targets; undefined if there is nothing to tell. */
export const newPromptReport = (
  { promptFaults: { suspicions, quarantines } }: RoutingState,
  nowMs: number,
): PromptReport | undefined => {
  const isRecent = (atMs: number): boolean => nowMs - atMs < REPEATED_MS;
  const evidence = new Map(
    [...suspicions.values()]
      .flatMap((suspicion) => suspicion.evidence)
      .filter(({ isLocal, isConfirmed, atMs }) => isLocal && isConfirmed && isRecent(atMs))
      .map(({ targetStart, atMs, parts }) => [
        `${targetStart} ${parts.join()}`,
        { targetStart, ageMs: Math.round(nowMs - atMs), parts },
      ]),
  );
  const cleared = [...suspicions].flatMap(([part, { clearedAtMs, isClearedHere }]) =>
    clearedAtMs !== undefined && isClearedHere && isRecent(clearedAtMs)
      ? [[part, Math.round(nowMs - clearedAtMs)] as const]
      : [],
  );
  return evidence.size === 0 && cleared.length === 0 && quarantines.isEmpty()
    ? undefined
    : {
        evidence: [...evidence.values()],
        cleared: Object.fromEntries(cleared),
        quarantines: shareQuarantines(quarantines, nowMs),
      };
};
