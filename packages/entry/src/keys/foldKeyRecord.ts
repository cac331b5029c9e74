import { assertNever } from '@parsleyhall/common';
import type { KeyRecord } from './keyRecord.js';
import type { KeyState } from './keyState.js';

const withStart = (
  state: KeyState,
  offset: number,
  record: Extract<KeyRecord, { type: 'start' }>,
): KeyState => {
  if (state.owner?.attempt === record.attempt || state.endedAttempts.includes(record.attempt)) {
    return state;
  }
  if (state.owner !== undefined) {
    // A lost claim is over for good, or a late repeat of it could take the key when the owner frees it.
    return { ...state, endedAttempts: [...state.endedAttempts, record.attempt] };
  }
  return {
    ...state,
    owner: { attempt: record.attempt, offset, requestFingerprint: record.requestFingerprint },
  };
};

const withNotRun = (state: KeyState, attempt: string): KeyState => {
  if (state.done?.attempt === attempt || state.endedAttempts.includes(attempt)) {
    return state;
  }
  const isOwner = state.owner?.attempt === attempt;
  return {
    ...state,
    owner: isOwner ? undefined : state.owner,
    isUnknown: isOwner ? false : state.isUnknown,
    endedAttempts: [...state.endedAttempts, attempt],
  };
};

/**
 * Folds one record into its key. The first start in log order owns the key until its `notRun`; every reader of the same
 * records comes to the same owner.
 */
export const foldKeyRecord = (state: KeyState, offset: number, record: KeyRecord): KeyState => {
  switch (record.type) {
    case 'start':
      return withStart(state, offset, record);
    case 'notRun':
      return withNotRun(state, record.attempt);
    case 'unknown':
      return state.owner?.attempt === record.attempt && state.done === undefined
        ? { ...state, isUnknown: true }
        : state;
    case 'done':
      return state.owner?.attempt === record.attempt && state.done === undefined
        ? { ...state, done: record, isUnknown: false }
        : state;
    default:
      return assertNever(record);
  }
};
