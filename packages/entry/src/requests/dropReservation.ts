import type { SideId } from '@parsleyhall/common';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import type { RequestPhase } from './requestPhase.js';
import { storeRequest } from './storeRequest.js';
import type { TrackedRequest } from './trackedRequest.js';
import { widenPlacement } from './widenPlacement.js';
import { withPhase } from './withPhase.js';

type HandBack = Extract<RequestPhase, { type: 'waiting' }>['handBacks'][number];

/** Takes note that a side process no longer holds a reservation, and reserves elsewhere when none is left. */
export const dropReservation = (
  scope: EntryScope,
  step: EntryStep,
  tracked: TrackedRequest,
  side: SideId,
  handBack?: HandBack,
): EntryStep => {
  const { phase } = tracked;
  if (phase.type !== 'waiting' || !phase.reservedAt.includes(side)) {
    return step;
  }
  const left = {
    ...phase,
    reservedAt: phase.reservedAt.filter((other) => other !== side),
    handBacks: handBack === undefined ? phase.handBacks : [...phase.handBacks, handBack],
  };
  const dropped = withPhase(scope.settings, tracked, left);
  const stored = storeRequest(step, dropped);
  return left.reservedAt.length > 0 ? stored : widenPlacement(scope, stored, dropped, left);
};
