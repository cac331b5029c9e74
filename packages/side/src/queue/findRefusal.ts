import type { HandBackReason, Reservation } from '@parsleyhall/protocol';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import { getLowestTierAdmitted } from '../shedding/getLowestTierAdmitted.js';

const isOwnModel = ({ settings }: SideContext, { model }: Reservation): boolean =>
  settings.kind === 'service' || settings.models.includes(model);

/** Why a reservation may not wait here whatever its place in the order, if so. */
export const findRefusal = (
  context: SideContext,
  state: SideState,
  reservation: Reservation,
): HandBackReason | undefined => {
  if (!context.decisions.acceptsNewWork(state.leaving)) {
    return 'draining';
  }
  if (!state.rules.hasPreset) {
    return 'noConfiguration';
  }
  if (reservation.pool !== context.settings.pool || !isOwnModel(context, reservation)) {
    return 'wrongPool';
  }
  return reservation.tier > getLowestTierAdmitted(state) ? 'shed' : undefined;
};
