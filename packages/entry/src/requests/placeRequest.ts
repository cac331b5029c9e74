import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { getAdmittingSides } from '../pools/getAdmittingSides.js';
import { getUsableSides } from '../pools/getUsableSides.js';
import { giveUpPlacing } from './giveUpPlacing.js';
import { reserveAt } from './reserveAt.js';
import { storeRequest } from './storeRequest.js';
import type { RequestPhase } from './requestPhase.js';
import type { TrackedRequest } from './trackedRequest.js';
import { withPhase } from './withPhase.js';

const WIDEN_AFTER_MS = 20;
const NO_TARGET_PATIENCE_MS = 2_000;

type Waiting = Extract<RequestPhase, { type: 'waiting' }>;

const getWaiting = (scope: EntryScope, { phase }: TrackedRequest): Waiting =>
  phase.type === 'waiting'
    ? phase
    : {
        type: 'waiting',
        reservedAt: [],
        laterAt: [],
        widenAtMs: scope.nowMs,
        patienceEndsAtMs: scope.nowMs + NO_TARGET_PATIENCE_MS,
        handBacks: [],
      };

/** Reserves a request at side processes that have not handed it back; any reservation it still has is kept. */
export const placeRequest = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
): EntryStep => {
  const { request } = tracked;
  const { state } = step;
  const waiting = getWaiting(scope, tracked);
  const refusing = new Set(waiting.handBacks.map(({ side }) => side));
  const admitting = getAdmittingSides(state, request);
  const candidates = admitting.filter(({ side }) => !refusing.has(side));
  if (candidates.length === 0) {
    const usable = getUsableSides(state, request);
    const isClosedToTier = usable.length > 0 && admitting.length === 0;
    const handBacks = isClosedToTier
      ? usable.map(({ side, digest }) => ({
          side,
          reason: 'shed' as const,
          retryAfterMs: digest?.predictedWaitMsByTier[request.tier - 1] ?? 0,
        }))
      : waiting.handBacks;
    return giveUpPlacing(scope, step, tracked, { ...waiting, handBacks });
  }
  const placement = scope.decisions.choosePlacement({
    request,
    candidates,
    sequence: tracked.sequence,
    longPrefillShare: state.pools.get(request.pool)?.longPrefillShare ?? 0,
    longPrefillTokens: scope.settings.longPrefillTokens,
    maximumReservations: scope.settings.reservationsPerRequest,
  });
  const placed = withPhase(scope.settings, tracked, {
    ...waiting,
    reservedAt: placement.first,
    laterAt: placement.later,
    widenAtMs: scope.nowMs + WIDEN_AFTER_MS,
  });
  return reserveAt(scope, storeRequest(step, placed), placed, placement.first);
};
