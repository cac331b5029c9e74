import { getUrgentSlots } from '../load/getUrgentSlots.js';
import { countLiveEntries } from '../peers/countLiveEntries.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getLatencyModel } from '../targets/getLatencyModel.js';
import type { RankedRequest } from './rankedRequest.js';
import type { PredictedWait } from './predictedWait.js';

/** The part of its equal share of all slots that an entry can always regain, however few it uses now. */
const MIN_SLOT_SHARE = 0.5;
/** Fewer remaining slots than this count as none. */
const MIN_USABLE_SLOTS = 0.1;

/**
 * Creates a function that predicts how long a request waits until it is sent. The work ahead of it shares the slots
 * that this entry can count on, less the slots that more urgent arrivals are expected to occupy.
 */
export const createWaitPredictor = (
  state: RoutingState,
  service: string,
  nowMs: number,
): ((
  rankedRequest: RankedRequest,
  ahead: { readonly count: number; readonly workMs: number },
) => PredictedWait) => {
  const capacities = getCandidates(state, service, nowMs).map(({ target, slots, freeSlots }) => ({
    slots,
    free: freeSlots,
    used: target.inFlight,
  }));
  const freeSlots = capacities.reduce((sum, target) => sum + target.free, 0);
  const totalSlots = capacities.reduce((sum, target) => sum + target.slots, 0);
  const usedSlots = capacities.reduce((sum, target) => sum + target.used, 0);
  const heldSlots = Math.max(
    1,
    usedSlots,
    (MIN_SLOT_SHARE * totalSlots) / countLiveEntries(state, nowMs),
  );
  const admittedLoads = state.admittedLoads.get(service) ?? [];
  const { meanDurationMs } = getLatencyModel(state, service);
  return (rankedRequest, { count, workMs }) => {
    const urgentSlots = getUrgentSlots(admittedLoads, rankedRequest, nowMs);
    const slotFields = { heldSlots, urgentSlots };
    if (count < freeSlots) {
      return { waitMs: 0, ...slotFields };
    }
    const slotsLeft = heldSlots - urgentSlots;
    return {
      waitMs: slotsLeft < MIN_USABLE_SLOTS ? Infinity : (workMs + meanDurationMs) / slotsLeft,
      ...slotFields,
    };
  };
};
