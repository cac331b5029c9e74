import { getElapsedMs } from '../configuration/getElapsedMs.js';
import type { RoutingState } from '../routingState.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

/** If both clocks drift apart by this much between two ticks, one was set or the host was suspended. */
const CLOCK_JUMP_MS = 500;

/** Requests a confirmation of the configuration after a clock jump, since its age is unknown then. */
export const detectClockJump = (state: RoutingState, { now }: StepContext): StepResult => {
  const next = { ...state, lastTick: now };
  const { lastTick } = state;
  if (lastTick === undefined) {
    return createStepResult(next);
  }
  const jumpMs = getElapsedMs(lastTick, now) - (now.monotonicMs - lastTick.monotonicMs);
  return jumpMs < CLOCK_JUMP_MS
    ? createStepResult(next)
    : createStepResult(
        next,
        { type: 'confirmConfiguration' },
        { type: 'observe', name: 'clockJumped', fields: { jumpMs: Math.round(jumpMs) } },
      );
};
