import type { PlannedCall } from '../load/plannedCall.js';
import { ENGINE_MODEL } from './engineModel.js';
import { RATED_BATCH } from './ratedBatch.js';

/** Engine time that a call takes of an engine of speed 1 at its rated batch, in engine milliseconds; 0 for services. */
export const getWorkCostMs = (work: PlannedCall['work']): number => {
  if (work.type === 'service') {
    return 0;
  }
  const { stepBaseMs, stepPerRunningMs, stepPerPrefillTokenMs } = ENGINE_MODEL;
  const perAnswerTokenMs = stepPerRunningMs + stepBaseMs / RATED_BATCH;
  return work.promptTokens * stepPerPrefillTokenMs + work.answerTokens * perAnswerTokenMs;
};
