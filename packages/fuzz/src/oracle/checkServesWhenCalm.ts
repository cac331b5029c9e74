import { WORLD_SETTINGS } from '../world/worldSettings.js';
import type { Observation } from './observation.js';
import type { ObservedRequest } from './observedRequest.js';
import type { Violation } from './violation.js';

const CALM_DEADLINE_MS = 1_200;
const CALM_ARRIVALS = 8;

/** A key whose records may be past the log's retention has to be refused. */
const isOldKey = (request: ObservedRequest, requests: readonly ObservedRequest[]): boolean => {
  const key = request.arrival.idempotencyKey;
  const first = requests.find(({ arrival }) => arrival.idempotencyKey === key);
  const ageMs = request.arrival.atMs - (first?.arrival.atMs ?? 0);
  return (
    key !== undefined && ageMs > WORLD_SETTINGS.logRetentionMs - 3 * WORLD_SETTINGS.clockToleranceMs
  );
};

/** Without failures and with few requests, each in its time, every one is answered whole. */
export const checkServesWhenCalm = ({ schedule, requests }: Observation): readonly Violation[] => {
  const { arrivals, faults } = schedule;
  const isCalm =
    faults.length === 0 &&
    arrivals.length <= CALM_ARRIVALS &&
    arrivals.every(
      ({ deadlineMs, hangsUpAfterMs }) =>
        deadlineMs >= CALM_DEADLINE_MS && hangsUpAfterMs === undefined,
    );
  return requests
    .filter((request) => isCalm && !request.isWhole && !isOldKey(request, requests))
    .map(({ arrival, finalAtMs, failure }) => ({
      promise: 'servesWhenCalm',
      atMs: finalAtMs ?? arrival.deadlineAtMs,
      subject: arrival.requestId,
      detail: `not answered whole: ${JSON.stringify(failure)}`,
    }));
};
