import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { attendDueRequest } from './attendDueRequest.js';
import { storeRequest } from './storeRequest.js';

const REQUESTS_PER_PASS = 512;

/** Attends to the requests whose due time has come, a bounded number in one pass. */
export const attendDueRequests = (scope: EntryScope, step: EntryStep): EntryStep => {
  let current = step;
  for (let count = 0; count < REQUESTS_PER_PASS; count += 1) {
    const first = current.state.due.first();
    if (first === undefined || !scope.decisions.isDue(first.rank, scope.nowMs)) {
      break;
    }
    const tracked = current.state.requests.get(first.id);
    if (tracked === undefined) {
      break;
    }
    const attended = attendDueRequest(scope, current, tracked);
    const after = attended.state.requests.get(first.id);
    // A due time that did not move on would be met again at once.
    current =
      after !== undefined && after.dueAtMs <= scope.nowMs
        ? storeRequest(attended, { ...after, dueAtMs: scope.nowMs + 1 })
        : attended;
  }
  return current;
};
