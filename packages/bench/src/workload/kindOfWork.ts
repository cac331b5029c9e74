import type { Tier } from '@parsleyhall/common';

type Range = readonly [low: number, high: number];

interface EngineKind {
  readonly type: 'engine';
  /** Share of the engine pool's capacity at load 1, from 0 to 1. */
  readonly share: number;
  readonly promptTokens: Range;
  readonly answerTokens: Range;
  readonly maximumTokens: number;
  readonly isStreaming: boolean;
  /** Prefixes that the prompts share, and their length. */
  readonly prefixes: number;
  readonly prefixTokens: number;
}

interface ServiceKind {
  readonly type: 'service';
  readonly callsPerSecond: number;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly isNonIdempotent: boolean;
}

/** One kind of work of a deployment; times in engine milliseconds. */
export interface KindOfWork {
  readonly name: string;
  readonly tier: Tier;
  readonly deadlineMs: number;
  /** Share of the callers that hang up before the end. */
  readonly hangUpShare: number;
  readonly work: EngineKind | ServiceKind;
}
