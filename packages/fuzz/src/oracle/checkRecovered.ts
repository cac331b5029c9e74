import type { Fault } from '../schedule/fault.js';
import type { FaultKind } from '../schedule/faultKind.js';
import { WORLD_SETTINGS } from '../world/worldSettings.js';
import type { Observation } from './observation.js';
import type { ObservedRequest } from './observedRequest.js';
import type { Violation } from './violation.js';

const RECOVERY_MS = 1_000;

/** After these a run goes on, or its target still has the answer. */
const RECOVERABLE: readonly FaultKind[] = [
  'cutLink',
  'pauseSide',
  'pauseEntry',
  'burst',
  'publish',
  'raceOperators',
  'drain',
  'listLeaving',
  'stopEntry',
  'stopSide',
];

const isRecoverable = ({ kind }: Fault, { arrival }: ObservedRequest): boolean =>
  RECOVERABLE.includes(kind) || (kind === 'killSide' && arrival.pool === WORLD_SETTINGS.enginePool);

const hasTimeToRecover = (faults: readonly Fault[], request: ObservedRequest): boolean => {
  const dueMs = request.arrival.deadlineAtMs + WORLD_SETTINGS.settleAllowanceMs;
  return faults
    .map(({ atMs, forMs }) => ({ fromMs: WORLD_SETTINGS.warmUpMs + atMs, forMs }))
    .filter(({ fromMs }) => fromMs < (request.finalAtMs ?? Infinity))
    .every(({ fromMs, forMs }) => fromMs + forMs + RECOVERY_MS <= dueMs);
};

/**
 * A request that was dispatched is answered whole when all that fails are connections, pauses and, before an engine, side
 * processes, and time is left to take the answer up again.
 */
export const checkRecovered = ({ schedule, requests }: Observation): readonly Violation[] =>
  requests
    .filter(
      (request) =>
        request.runs.length > 0 &&
        !request.isWhole &&
        request.hungUpAtMs === undefined &&
        request.cutAtMs === undefined &&
        schedule.faults.every((fault) => isRecoverable(fault, request)) &&
        hasTimeToRecover(schedule.faults, request),
    )
    .map(({ arrival, finalAtMs, failure }) => ({
      promise: 'wholeOwnAnswer',
      atMs: finalAtMs ?? arrival.deadlineAtMs,
      subject: arrival.requestId,
      detail: `could be taken up again, but the caller was told ${JSON.stringify(failure)}`,
    }));
