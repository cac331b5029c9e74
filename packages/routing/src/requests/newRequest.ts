import type { Route } from '../configuration/route.js';
import type { RoutedTeam } from '../configuration/routedTeam.js';
import { estimateHeldTokens } from '../memory/estimateHeldTokens.js';
import type { Arrival } from './arrival.js';
import type { TrackedRequest } from './trackedRequest.js';

const UINT32_VALUES = 2 ** 32;

/** Creates the tracked, not yet queued request of an arrival. */
export const newRequest = ({
  arrival,
  route,
  service,
  team,
  sharedPromptParts,
  quotaCost,
  isBeyondQuota,
  meanHeldTokens,
  nowMs,
}: {
  readonly arrival: Arrival;
  readonly route: Route;
  readonly service: string;
  readonly team: RoutedTeam | undefined;
  readonly sharedPromptParts: readonly string[];
  readonly quotaCost: number;
  readonly isBeyondQuota: boolean;
  /** What requests of the service hold on average; undefined if the memory of its targets is not limited. */
  readonly meanHeldTokens: number | undefined;
  readonly nowMs: number;
}): TrackedRequest => {
  const arrivedAtMs = nowMs - arrival.elapsedMs;
  const latestArrivalAtMs = nowMs - (arrival.minElapsedMs ?? arrival.elapsedMs);
  const callerTimeoutMs = Math.min(arrival.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  const isSizeUnknown = arrival.promptTokens === undefined && meanHeldTokens !== undefined;
  const statedTokens = estimateHeldTokens(arrival);
  return {
    requestId: arrival.requestId,
    ...(arrival.attemptId === undefined ? {} : { attemptId: arrival.attemptId }),
    route,
    service,
    ...(arrival.key === undefined ? {} : { key: arrival.key }),
    ...(team === undefined ? {} : { team: team.name }),
    ...(team?.priority === undefined ? {} : { teamPriority: team.priority }),
    tier: route.priority,
    arrivedAtMs,
    ...(arrival.unreadMs === undefined ? {} : { unreadMs: arrival.unreadMs }),
    objectiveAtMs: arrivedAtMs + route.objectiveMs,
    responseStartDeadlineAtMs: arrivedAtMs + Math.min(route.longestSilenceMs, callerTimeoutMs),
    deadlineAtMs: arrivedAtMs + callerTimeoutMs,
    latestDeadlineAtMs: latestArrivalAtMs + callerTimeoutMs,
    bodyBytes: arrival.bodyBytes ?? 0,
    promptTokens: arrival.promptTokens ?? 0,
    expectedOutputTokens: arrival.expectedOutputTokens ?? arrival.maxOutputTokens ?? 0,
    heldTokens: isSizeUnknown ? Math.max(statedTokens, meanHeldTokens) : statedTokens,
    ...(isSizeUnknown ? { isSizeUnknown } : {}),
    spreadSeed: Math.floor(arrival.random * UINT32_VALUES),
    sharedPromptParts,
    quotaCost,
    isBeyondQuota,
    triedTargetIds: [],
    attempts: 0,
    sends: 0,
    mayHaveRun: false,
    hasResponseStarted: false,
    isCommitted: false,
  };
};
