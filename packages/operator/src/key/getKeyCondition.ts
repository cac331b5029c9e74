import type { KeyState } from '@parsleyhall/entry';

/** The condition of a key: unclaimed, or the state of the run of its owner. */
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
