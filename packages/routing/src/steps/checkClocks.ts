import { getConfirmationAgeMs } from '../configuration/getConfirmationAgeMs.js';
import type { RoutingState } from '../routingState.js';
import { keep } from './keep.js';
import type { Outcome } from './outcome.js';
import type { Scope } from './scope.js';

/** Clocks that drift apart by more between two ticks were set, or the host was suspended. */
const JUMP_MS = 500;

/** After a jump the age of the configuration cannot be told, so it is confirmed at once. */
export const checkClocks = (state: RoutingState, { now }: Scope): Outcome => {
  const next = { ...state, ticked: now };
  const { ticked } = state;
  if (ticked === undefined) {
    return keep(next);
  }
  const jumpMs = getConfirmationAgeMs(ticked, now) - (now.steadyMs - ticked.steadyMs);
  return jumpMs < JUMP_MS
    ? keep(next)
    : keep(
        next,
        { type: 'confirmConfiguration' },
        { type: 'observe', name: 'clockJumped', fields: { jumpMs: Math.round(jumpMs) } },
      );
};
