import type { RoutingState } from '../routingState.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { getLeaseMs } from './getLeaseMs.js';
import { getListedVersions } from './getListedVersions.js';
import { isInTouch } from './isInTouch.js';

/** Logs when this entry loses and regains its knowledge of roll-outs, without which it may not use targets. */
export const reportContact = (state: RoutingState, nowMs: number): StepResult => {
  const { wasInTouch, confirmedAtMs } = state.rollouts;
  const isNowInTouch = isInTouch(state, getLeaseMs(state), nowMs);
  if (isNowInTouch === wasInTouch) {
    return createStepResult(state);
  }
  const { keptVersions, ...rest } = state.rollouts;
  const rollouts =
    isNowInTouch || confirmedAtMs === undefined
      ? rest
      : { ...rest, keptVersions: keptVersions ?? getListedVersions(state) };
  const recordsAgeMs = confirmedAtMs === undefined ? -1 : Math.round(nowMs - confirmedAtMs);
  return createStepResult(
    { ...state, rollouts: { ...rollouts, wasInTouch: isNowInTouch } },
    {
      type: 'observe',
      name: isNowInTouch ? 'rolloutRecordsKnown' : 'rolloutRecordsOutdated',
      fields: { recordsAgeMs },
    },
  );
};
