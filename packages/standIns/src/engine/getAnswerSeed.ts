import { computeFingerprint } from '@parsleyhall/common';

/** The seed of an answer's text: another request or another prompt gives another text. */
export const getAnswerSeed = (requestId: string, prompt: string): number =>
  computeFingerprint(`${requestId}\u0000${prompt}`);
