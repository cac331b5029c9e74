import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepContext } from '../steps/stepContext.js';
import type { StepResult } from '../steps/stepResult.js';
import { acceptStatus } from './acceptStatus.js';
import { isNewerStatus } from './isNewerStatus.js';
import { newRollout } from './newRollout.js';
import { putRollout } from './putRollout.js';
import type { Rollout } from './rollout.js';
import type { RolloutStatus } from './rolloutStatus.js';

/** Records of further services are left out, so that no sender can fill the memory. */
const MAX_SERVICES = 256;

type Source = 'store' | 'peer';

const isSameRecord = (left: RolloutStatus, right: RolloutStatus): boolean =>
  left.step === right.step && left.stage === right.stage && left.order.id === right.order.id;

/** Notes whether the store has what this entry knows, and writes further records after the store's newest step. */
const compareWithStore = (
  rollout: Rollout,
  known: RolloutStatus,
  stored: RolloutStatus,
): Rollout => ({
  ...rollout,
  status: { ...known, step: Math.max(known.step, stored.step) },
  isStoreBehind: !isSameRecord(known, stored),
});

/** Takes over a status record if it is newer than the known one. */
export const mergeStatus = (
  state: RoutingState,
  status: RolloutStatus,
  source: Source,
  context: StepContext,
): StepResult => {
  const { service, version } = status.order;
  const known = state.rollouts.byService.get(service);
  if (known === undefined && state.rollouts.byService.size >= MAX_SERVICES) {
    return createStepResult(state);
  }
  if (known?.status !== undefined && !isNewerStatus(status, known.status)) {
    return createStepResult(
      source === 'store'
        ? putRollout(state, service, compareWithStore(known, known.status, status))
        : state,
    );
  }
  const { confirmedAtMs = -Infinity } = state.rollouts;
  const rollout = known ?? newRollout(context.nowMs);
  const accepted = acceptStatus(rollout, status, confirmedAtMs, context);
  const { stage, step, reason, writer, counts } = status;
  return createStepResult(
    putRollout(state, service, { ...accepted, isStoreBehind: false, writeAskedAtMs: -Infinity }),
    {
      type: 'observe',
      name: 'rolloutStage',
      fields: {
        service,
        targetVersion: version,
        stage,
        step,
        reason,
        writer,
        source,
        ageMs: Math.round(context.nowMs - accepted.startedAtMs),
        ...counts,
      },
    },
  );
};
