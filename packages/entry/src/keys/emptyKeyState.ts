import type { KeyState } from './keyState.js';

/** A key that nobody has claimed. */
export const EMPTY_KEY_STATE: KeyState = {
  owner: undefined,
  done: undefined,
  isUnknown: false,
  endedAttempts: [],
};
