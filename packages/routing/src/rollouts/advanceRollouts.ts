import type { RoutingState } from '../routingState.js';
import { chainStep } from '../steps/chainStep.js';
import { createStepResult } from '../steps/createStepResult.js';
import { runStepForEach } from '../steps/runStepForEach.js';
import type { StepContext } from '../steps/stepContext.js';
import type { StepResult } from '../steps/stepResult.js';
import { advanceRollout } from './advanceRollout.js';
import { countSlowSends } from './countSlowSends.js';
import { leaveOldTargets } from './leaveOldTargets.js';
import { reportContact } from './reportContact.js';
import { putRollout } from './putRollout.js';

/** Reports of others arrive about as often, and a version is judged over all of them. */
const JUDGE_INTERVAL_MS = 100;
/** After a longer break between two ticks, other entries may have been alive without being heard. */
const STEADY_TICK_MS = 1_000;

const recordTick = (state: RoutingState, nowMs: number): RoutingState => {
  const { tickedAtMs, steadySinceMs } = state.rollouts;
  const isSteady = nowMs - tickedAtMs < STEADY_TICK_MS;
  const rollouts = {
    ...state.rollouts,
    tickedAtMs: nowMs,
    steadySinceMs: isSteady ? steadySinceMs : nowMs,
  };
  return { ...state, rollouts };
};

const advanceIfDue = (state: RoutingState, service: string, context: StepContext): StepResult => {
  const rollout = state.rollouts.byService.get(service);
  if (rollout === undefined || context.nowMs - rollout.judgedAtMs < JUDGE_INTERVAL_MS) {
    return createStepResult(state);
  }
  const judged = putRollout(state, service, { ...rollout, judgedAtMs: context.nowMs });
  return advanceRollout(judged, service, context);
};

/** Runs the periodic checks of all roll-outs. */
export const advanceRollouts = (state: RoutingState, context: StepContext): StepResult => {
  const { nowMs } = context;
  if (state.settings.rollouts === undefined) {
    return createStepResult(state);
  }
  const ticked = reportContact(recordTick(state, nowMs), nowMs);
  if (state.rollouts.byService.isEmpty()) {
    return ticked;
  }
  const left = chainStep(ticked, (current) =>
    leaveOldTargets(countSlowSends(current, nowMs), context),
  );
  return chainStep(left, (current) =>
    runStepForEach(current, current.rollouts.byService.keys(), (next, service) =>
      advanceIfDue(next, service, context),
    ),
  );
};
