import type { EntryStep } from '../entryStep.js';
import { replaceRequest } from './replaceRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Puts a request's new form into the state. */
export const storeRequest = (step: EntryStep, tracked: TrackedRequest): EntryStep => ({
  state: replaceRequest(step.state, tracked.request.requestId, tracked),
  effects: step.effects,
});
