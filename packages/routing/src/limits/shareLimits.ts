import { toOptionalField } from '@parsleyhall/common';
import type { RoutingState } from '../routingState.js';
import { getTargetStart } from '../targets/getTargetStart.js';
import type { SharedLimit } from './sharedLimit.js';

/** The end of a limit is told for this long, since a digest may be lost. */
const END_TOLD_MS = 10_000;

/** The limits that targets stated to this entry. */
export const shareLimits = (state: RoutingState, nowMs: number): readonly SharedLimit[] =>
  state.targetLimits.isEmpty()
    ? []
    : [...state.targets.keys()].flatMap((target) => {
        const targetStart = getTargetStart(state, target);
        const limit = state.targetLimits.get(targetStart);
        const isTold =
          limit?.isLocal === true &&
          (limit.perSecond !== undefined || nowMs - limit.statedAtMs < END_TOLD_MS);
        return isTold
          ? [
              {
                target,
                targetStart,
                ...toOptionalField('perSecond', limit.perSecond),
                ageMs: Math.round(nowMs - limit.statedAtMs),
              },
            ]
          : [];
      });
