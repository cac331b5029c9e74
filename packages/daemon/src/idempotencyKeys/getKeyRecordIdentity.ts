import type { KeyRecord } from '@parsleyhall/entry';

/** Returns the identity of a key record; applying a second record with the same identity changes nothing. */
export const getKeyRecordIdentity = ({ type, key, attempt }: KeyRecord): string =>
  JSON.stringify([type, key, attempt]);
