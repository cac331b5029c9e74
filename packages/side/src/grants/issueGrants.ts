import type { Tier } from '@parsleyhall/common';
import { getPresetInForce } from '@parsleyhall/configuration';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { WaitingReservation } from '../queue/waitingReservation.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { issueGrant } from './issueGrant.js';

const chooseWithRoom = (context: SideContext, state: SideState): WaitingReservation | undefined => {
  const { occupancy, window } = state;
  const reservedShare = getPresetInForce(state.configuration)?.tierOneReservedShare ?? 0;
  const allowsTier = (tier: Tier): boolean =>
    context.decisions.hasRoom({ tier, occupancy, window, reservedShare });
  return allowsTier(1)
    ? context.decisions.chooseNext(state.queue, { allowsTier, allowsLongPrefills: true })
    : undefined;
};

/** Grants the room there is, in order. */
export const issueGrants = (context: SideContext, state: SideState): SideStep => {
  let step = newStep(state);
  while (step.state.queue.byRequest.size > 0) {
    const waiting = chooseWithRoom(context, step.state);
    if (waiting === undefined) {
      break;
    }
    step = andThen(step, (next) => issueGrant(context, next, waiting));
  }
  return step;
};
