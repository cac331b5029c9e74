import type { RequestId } from '@parsleyhall/common';
import type { EntryStep } from '../entryStep.js';
import { forEachStep } from '../steps/forEachStep.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Takes a step for each request named that is still tracked when its turn comes. */
export const forEachRequest = (
  step: EntryStep,
  requestIds: Iterable<RequestId>,
  takeStep: (step: EntryStep, tracked: TrackedRequest) => EntryStep,
): EntryStep =>
  forEachStep(step, requestIds, (current, requestId) => {
    const tracked = current.state.requests.get(requestId);
    return tracked === undefined ? current : takeStep(current, tracked);
  });
