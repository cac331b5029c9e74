import { computeFingerprint } from '@parsleyhall/common';
import type { ListedTarget } from './listedTarget.js';
import type { Target } from './target.js';

/** Creates a target of which only its record in the list is known. */
export const newTarget = (listed: ListedTarget): Target => ({
  listed,
  spreadHash: computeFingerprint(listed.id),
  inFlight: 0,
  heldTokens: 0,
  pendingPromptTokens: 0,
  failureShare: 0,
  cooldownUntilMs: 0,
});
