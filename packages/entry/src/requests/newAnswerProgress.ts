import type { AnswerProgress } from './answerProgress.js';

/** An answer of which nothing has come; `isKept` asks for its body to be kept. */
export const newAnswerProgress = (isKept: boolean): AnswerProgress => ({
  isHeadSent: false,
  status: 0,
  headers: {},
  bytesReceived: 0,
  firstByteAtMs: undefined,
  lastByteAtMs: 0,
  kept: isKept ? [] : undefined,
});
