import type { AnswerBuffer } from './answerBuffer.js';

/** One request in an engine, from its arrival to its end. */
export interface EngineRequest {
  readonly requestId: string;
  /** The caller's own mark of the request, or its id. */
  readonly label: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly fingerprints: readonly number[];
  readonly answer: AnswerBuffer;
  readonly formatToken: (place: number) => string;
  readonly formatEnd: (cachedTokens: number) => string;
  cachedTokens: number;
  prefillTokensLeft: number;
  tokensDone: number;
}
