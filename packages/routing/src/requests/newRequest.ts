import type { Route } from '../configuration/route.js';
import type { RoutedTeam } from '../configuration/routedTeam.js';
import type { Arrival } from './arrival.js';
import type { TrackedRequest } from './trackedRequest.js';

/** A request that waits, as it arrived. */
export const newRequest = ({
  arrival,
  route,
  service,
  team,
  quotaCost,
  isBeyondQuota,
  nowMs,
}: {
  readonly arrival: Arrival;
  readonly route: Route;
  readonly service: string;
  readonly team: RoutedTeam | undefined;
  readonly quotaCost: number;
  readonly isBeyondQuota: boolean;
  readonly nowMs: number;
}): TrackedRequest => {
  const cameMs = nowMs - arrival.elapsedMs;
  const waitsMs = Math.min(arrival.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  return {
    requestId: arrival.requestId,
    ...(arrival.attemptId === undefined ? {} : { attemptId: arrival.attemptId }),
    route,
    service,
    ...(team === undefined ? {} : { team: team.name }),
    ...(team?.priority === undefined ? {} : { teamPriority: team.priority }),
    tier: route.priority,
    arrivedMs: cameMs,
    ...(arrival.unreadMs === undefined ? {} : { unreadMs: arrival.unreadMs }),
    objectiveAtMs: cameMs + route.objectiveMs,
    patienceAtMs: cameMs + Math.min(route.longestSilenceMs, waitsMs),
    deadlineAtMs: cameMs + waitsMs,
    promptTokens: arrival.promptTokens ?? 0,
    outputTokens: arrival.expectedOutputTokens ?? arrival.maxOutputTokens ?? 0,
    quotaCost,
    isBeyondQuota,
    triedTargets: [],
    arrivals: 0,
    sends: 0,
    mayHaveRun: false,
    hasBegun: false,
  };
};
