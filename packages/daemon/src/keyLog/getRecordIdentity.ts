import type { KeyRecord } from '@parsleyhall/entry';

/** What makes two key records the same: folding one of them again changes nothing. */
export const getRecordIdentity = ({ type, key, attempt }: KeyRecord): string =>
  JSON.stringify([type, key, attempt]);
