import { getUrgentSlots } from '../flow/getUrgentSlots.js';
import { countEntries } from '../peers/countEntries.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import { getPace } from '../targets/getPace.js';
import type { Ranked } from './ranked.js';
import type { Wait } from './wait.js';

/** The part of its equal share of the slots that an entry comes to again, however few it holds now. */
const LEAST_SHARE = 0.5;
/** Less of a slot than this is none. */
const LEAST_SLOTS = 0.1;

/**
 * Prepares to predict how long until a request with this work ahead of it is started: the work takes the slots that
 * this entry holds, less those that more urgent work will take meanwhile.
 */
export const createWaitPredictor = (
  state: RoutingState,
  service: string,
  nowMs: number,
): ((own: Ranked, ahead: { readonly count: number; readonly workMs: number }) => Wait) => {
  const listed = getCandidates(state, service, nowMs).map(({ target, totalInFlight }) => ({
    slots: target.listed.slots,
    free: Math.max(0, target.listed.slots - totalInFlight),
    own: target.inFlight,
  }));
  const free = listed.reduce((sum, target) => sum + target.free, 0);
  const all = listed.reduce((sum, target) => sum + target.slots, 0);
  const held = listed.reduce((sum, target) => sum + target.own, 0);
  const slots = Math.max(1, held, (LEAST_SHARE * all) / countEntries(state, nowMs));
  const inflows = state.inflows.get(service) ?? [];
  const { runMs } = getPace(state, service);
  return (own, { count, workMs }) => {
    const urgentSlots = getUrgentSlots(inflows, own, nowMs);
    const from = { heldSlots: slots, urgentSlots };
    if (count < free) {
      return { waitMs: 0, ...from };
    }
    const left = slots - urgentSlots;
    return { waitMs: left < LEAST_SLOTS ? Infinity : (workMs + runMs) / left, ...from };
  };
};
