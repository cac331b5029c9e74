import type { FaultKind } from '../schedule/faultKind.js';
import { WORLD_SETTINGS } from '../world/worldSettings.js';
import type { Observation } from './observation.js';
import type { ObservedRequest } from './observedRequest.js';
import type { Violation } from './violation.js';

const CALM_DEADLINE_MS = 1_200;
const CALM_ARRIVALS = 8;
const CALM_AGAIN_MS = 1_500;

/** These may leave a host without work for good. */
const LASTING: readonly FaultKind[] = ['drain', 'listLeaving'];

/** A key whose records may be past the log's retention has to be refused. */
const isOldKey = (request: ObservedRequest, requests: readonly ObservedRequest[]): boolean => {
  const key = request.arrival.idempotencyKey;
  const first = requests.find(({ arrival }) => arrival.idempotencyKey === key);
  const ageMs = request.arrival.atMs - (first?.arrival.atMs ?? 0);
  return (
    key !== undefined && ageMs > WORLD_SETTINGS.logRetentionMs - 3 * WORLD_SETTINGS.clockToleranceMs
  );
};

/** A key that was used during a failure may rightly have no known outcome. */
const isFreshKey = (request: ObservedRequest, requests: readonly ObservedRequest[]): boolean => {
  const key = request.arrival.idempotencyKey;
  return (
    key === undefined || requests.find(({ arrival }) => arrival.idempotencyKey === key) === request
  );
};

const isCalmAt = ({ schedule, requests }: Observation, request: ObservedRequest): boolean => {
  const { atMs, deadlineAtMs } = request.arrival;
  const others = requests.filter(
    ({ arrival }) => arrival.atMs > atMs - CALM_DEADLINE_MS && arrival.atMs < deadlineAtMs,
  );
  const isOver = schedule.faults.every(
    (fault) =>
      !LASTING.includes(fault.kind) &&
      WORLD_SETTINGS.warmUpMs + fault.atMs + fault.forMs + CALM_AGAIN_MS <= atMs,
  );
  return (
    isOver &&
    others.length <= CALM_ARRIVALS &&
    deadlineAtMs - atMs >= CALM_DEADLINE_MS &&
    request.hungUpAtMs === undefined &&
    !isOldKey(request, requests) &&
    (schedule.faults.length === 0 || isFreshKey(request, requests))
  );
};

/** Without failures, or some time after them, each of a few requests with time enough is answered whole. */
export const checkServesWhenCalm = (observation: Observation): readonly Violation[] =>
  observation.requests
    .filter((request) => !request.isWhole && isCalmAt(observation, request))
    .map(({ arrival, finalAtMs, failure }) => ({
      promise: 'servesWhenCalm',
      atMs: finalAtMs ?? arrival.deadlineAtMs,
      subject: arrival.requestId,
      detail: `not answered whole: ${JSON.stringify(failure)}`,
    }));
