import { computeFingerprint } from '@parsleyhall/common';

/**
 * Computes the seed of a response's text, so that the text depends on the request id and the
 * prompt.
 */
export const computeResponseSeed = (requestId: string, prompt: string): number =>
  computeFingerprint(`${requestId}\u0000${prompt}`);
