import type { StoredBody } from './storedBody.js';

/** Makes a body of bytes that are left to the garbage collector. */
export const toStoredBody = (whole: Buffer): StoredBody => ({
  length: whole.length,
  capacity: whole.length,
  whole,
  copyParts: () => [whole],
  release: () => undefined,
});
