import type { ResponseBodyBuffer } from './responseBodyBuffer.js';

/** A request in an engine, from its arrival until its response is complete or cancelled. */
export interface EngineRequest {
  readonly requestId: string;
  /** Label that the caller gave the request; its request id when there is none. */
  readonly label: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Fingerprints of the complete prefix blocks of the prompt. */
  readonly fingerprints: readonly number[];
  readonly responseBody: ResponseBodyBuffer;
  readonly formatToken: (tokenIndex: number) => string;
  readonly formatEnd: (cachedTokens: number) => string;
  cachedTokens: number;
  prefillTokensLeft: number;
  tokensDone: number;
}
