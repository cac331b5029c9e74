import { Map } from 'immutable';
import type { RoutingState } from '../routingState.js';
import type { StepContext } from '../steps/stepContext.js';
import type { Candidate } from '../targets/candidate.js';
import type { Crossing } from './crossing.js';
import { getCrossingPeriodMs } from './getCrossingPeriodMs.js';
import { getRooms } from './getRooms.js';
import { updateCrossing } from './updateCrossing.js';

/** Updates which other data centres are open to requests for a service, if the settings call for it. */
export const updateCrossings = (
  state: RoutingState,
  service: string,
  candidates: readonly Candidate[],
  { settings, nowMs }: Pick<StepContext, 'settings' | 'nowMs'>,
): RoutingState => {
  if (settings.crossDataCentre === undefined) {
    return state;
  }
  const rooms = getRooms(candidates, nowMs);
  if (rooms.size === 1 && rooms.has(settings.dataCentre)) {
    return state;
  }
  const periodMs = getCrossingPeriodMs(state.peers.size);
  const known = state.crossings.get(service) ?? Map<string, Crossing>();
  const crossings = Map(
    [...rooms]
      .filter(([dataCentre]) => dataCentre !== settings.dataCentre)
      .map(([dataCentre, room]) => [
        dataCentre,
        updateCrossing(known.get(dataCentre), room, periodMs, nowMs),
      ]),
  );
  return { ...state, crossings: state.crossings.set(service, crossings) };
};
