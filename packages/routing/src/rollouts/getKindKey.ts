import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Rollout } from './rollout.js';

/** Prompt tokens from which a prompt is of the next size class. */
const SIZE_CLASS_TOKENS = [1_000, 8_000] as const;
/** Further kinds are counted as one, so that reports stay short. */
const MAX_KINDS = 24;
const OTHER_KINDS = '*';

/** The kind of a request during a roll-out: its route and the size class of its prompt. */
export const getKindKey = ({ kinds }: Rollout, { route, promptTokens }: TrackedRequest): string => {
  const sizeClass = SIZE_CLASS_TOKENS.filter((tokens) => promptTokens >= tokens).length;
  const key = `${route.name}/${sizeClass}`;
  return kinds.has(key) || kinds.size < MAX_KINDS ? key : OTHER_KINDS;
};
