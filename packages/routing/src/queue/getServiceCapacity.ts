import { getLocality } from '../dataCentres/getLocality.js';
import { updateCrossings } from '../dataCentres/updateCrossings.js';
import { countLiveEntries } from '../peers/countLiveEntries.js';
import type { RoutingState } from '../routingState.js';
import { getCandidates } from '../targets/getCandidates.js';
import type { ServiceCapacity } from './serviceCapacity.js';

/** The slots of a service that this entry can count on, without those of data centres that are closed to it. */
export const getServiceCapacity = (
  state: RoutingState,
  service: string,
  nowMs: number,
): ServiceCapacity => {
  const candidates = getCandidates(state, service, nowMs);
  const liveEntries = countLiveEntries(state, nowMs);
  const context = { settings: state.settings, nowMs };
  const updated = updateCrossings(state, service, candidates, context);
  const locality = getLocality({
    state: updated,
    service,
    candidates,
    liveEntries,
    medianServiceTimeMs: undefined,
    context,
  });
  const reachable = candidates.filter(
    ({ target }) => locality?.reachableDataCentres.has(target.listed.dataCentre) !== false,
  );
  return {
    freeSlots:
      locality?.usableSlots ?? reachable.reduce((sum, { freeSlots }) => sum + freeSlots, 0),
    totalSlots: reachable.reduce((sum, { slots }) => sum + slots, 0),
    usedSlots: reachable.reduce((sum, { target }) => sum + target.inFlight, 0),
    entries: locality?.reachingEntries ?? liveEntries,
  };
};
