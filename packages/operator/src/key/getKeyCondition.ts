import type { KeyState } from '@parsleyhall/entry';

/** A key's condition in one word. */
export const getKeyCondition = ({
  owner,
  done,
  isUnknown,
}: KeyState): 'free' | 'running' | 'done' | 'unknown' => {
  if (owner === undefined) {
    return 'free';
  }
  if (done !== undefined) {
    return 'done';
  }
  return isUnknown ? 'unknown' : 'running';
};
