import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { forEachStep } from '../steps/forEachStep.js';
import { shedRequest } from './shedRequest.js';
import type { TrackedRequest } from './trackedRequest.js';

/** Sheds all that waits in the request's pool of tiers below its own, the lowest first. */
export const shedLowerTiers = (
  scope: EntryScope,
  step: EntryStep,
  { request }: TrackedRequest,
  retryAfterMs?: number,
): EntryStep => {
  const victims = [];
  for (const { id } of step.state.pools.get(request.pool)?.waiting.values() ?? []) {
    const victim = step.state.requests.get(id);
    if (victim === undefined || victim.request.tier <= request.tier) {
      break;
    }
    victims.push(victim);
  }
  return forEachStep(step, victims, (current, victim) =>
    shedRequest(scope, current, victim, retryAfterMs),
  );
};
