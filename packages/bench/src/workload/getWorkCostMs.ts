import type { PlannedCall } from '../load/plannedCall.js';
import { getTokensCostMs } from './getTokensCostMs.js';

/** Engine time that a call takes of an engine of speed 1 at its rated batch, in engine milliseconds; 0 for services. */
export const getWorkCostMs = (work: PlannedCall['work']): number =>
  work.type === 'service' ? 0 : getTokensCostMs(work.promptTokens, work.answerTokens);
