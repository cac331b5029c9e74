import type { ListedTarget } from './listedTarget.js';
import type { Target } from './target.js';

/** A target of which nothing is known but its entry in the list. */
export const newTarget = (listed: ListedTarget): Target => ({
  listed,
  inFlight: 0,
  prefillTokens: 0,
  failureShare: 0,
  restsUntilMs: 0,
});
