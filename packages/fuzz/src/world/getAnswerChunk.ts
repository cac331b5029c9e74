import { computeFingerprint } from '@parsleyhall/common';

/** The text of one chunk of the only right answer to an operation. */
export const getAnswerChunk = (operation: string, chunk: number): string =>
  `${operation}:${chunk}:${computeFingerprint(`${operation}/${chunk}`).toString(36)};`;
