import { toOptionalField } from '@parsleyhall/common';
import { Map } from 'immutable';
import { dropOldLimits } from '../limits/dropOldLimits.js';
import type { Observation } from '../observations/observation.js';
import { confirmCrash } from '../quarantine/confirmCrash.js';
import { getTargetStart } from '../targets/getTargetStart.js';
import type { RoutingState } from '../routingState.js';
import type { ListedTarget } from '../targets/listedTarget.js';
import { newTarget } from '../targets/newTarget.js';
import type { Target } from '../targets/target.js';
import { chainStep } from './chainStep.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { runStepForEach } from './runStepForEach.js';
import { createStepResult } from './createStepResult.js';
import type { StepResult } from './stepResult.js';
import type { StepContext } from './stepContext.js';

/**
 * How long a target's report outlives its listing. Targets can drop out of the list and return during outages of the
 * list.
 */
const REPORT_RETENTION_MS = 600_000;

const isUnchanged = (left: ListedTarget, right: ListedTarget | undefined): boolean =>
  left.service === right?.service &&
  left.startedAtMs === right.startedAtMs &&
  left.address === right.address &&
  left.isLeaving === right.isLeaving;

const getChangeObservations = (
  before: Map<string, Target>,
  after: Map<string, Target>,
): readonly Observation[] => [
  ...[...after.values()]
    .filter(({ listed }) => !isUnchanged(listed, before.get(listed.id)?.listed))
    .map(({ listed: { id: target, service, address, isLeaving } }): Observation => {
      const fields = { target, service, address, isLeaving };
      return { type: 'observe', name: 'targetListed', fields };
    }),
  ...[...before.values()]
    .filter(({ listed }) => !after.has(listed.id))
    .map(({ listed: { id: target, service, address } }): Observation => {
      return { type: 'observe', name: 'targetGone', fields: { target, service, address } };
    }),
];

/** Counts targets that are gone or have started again as crashed if sends broke off there. */
const confirmEndedTargets = (state: RoutingState, after: Map<string, Target>): RoutingState =>
  state.promptFaults.suspicions.isEmpty()
    ? state
    : [...state.targets]
        .filter(
          ([id, { listed }]) =>
            after.get(id)?.listed.startedAtMs !== listed.startedAtMs || !after.has(id),
        )
        .reduce((current, [id]) => confirmCrash(current, getTargetStart(state, id)), state);

/** A report of load, and a full memory, are about one start of a target, so they are dropped when it has started again. */
const relist = ({ load, ...known }: Target, listed: ListedTarget): Target => {
  if (known.listed.startedAtMs === listed.startedAtMs) {
    return { ...known, listed, ...toOptionalField('load', load) };
  }
  const { brokenSends } = known;
  return brokenSends === undefined
    ? { ...known, listed }
    : { ...known, listed, brokenSends: { ...brokenSends, isMemoryExceeded: false } };
};

/** Replaces the list of targets and keeps what was learned about those that remain. */
export const handleTargetList = (
  state: RoutingState,
  targets: readonly ListedTarget[],
  context: StepContext,
): StepResult => {
  const next = Map(
    targets.map((listed) => {
      const known = state.targets.get(listed.id);
      const target = known === undefined ? newTarget(listed) : relist(known, listed);
      return [listed.id, target] as const;
    }),
  );
  const targetReports = state.targetReports.filter(
    ({ reportedAtMs }, id) => next.has(id) || context.nowMs - reportedAtMs < REPORT_RETENTION_MS,
  );
  const changes = getChangeObservations(state.targets, next);
  const confirmed = confirmEndedTargets(state, next);
  const listed = { ...confirmed, targets: next, targetReports };
  const targetLimits = dropOldLimits(listed, context.nowMs);
  const updated = createStepResult({ ...listed, targetLimits }, ...changes);
  return chainStep(updated, (current) =>
    runStepForEach(current, current.waiting.keys(), (next, service) =>
      dispatchWaiting(next, service, context),
    ),
  );
};
