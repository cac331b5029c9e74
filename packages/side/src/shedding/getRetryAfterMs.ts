import { clamp } from '@parsleyhall/common';
import type { Tier } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import { predictWaitMs } from './predictWaitMs.js';

const MINIMUM_RETRY_AFTER_MS = 200;
const MAXIMUM_RETRY_AFTER_MS = 60_000;

/** When the backlog before the tier should be done, in milliseconds from now. */
export const getRetryAfterMs = (state: SideState, tier: Tier): number =>
  clamp(predictWaitMs(state, tier), MINIMUM_RETRY_AFTER_MS, MAXIMUM_RETRY_AFTER_MS);
