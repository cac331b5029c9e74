import type { Tier } from '@parsleyhall/common';

interface EngineWork {
  readonly type: 'engine';
  readonly model: string;
  /** Names the prefix that the prompt shares with others. */
  readonly prefix: string;
  readonly prefixTokens: number;
  readonly promptTokens: number;
  /** Length that the model will choose; the scheduler is not told. */
  readonly answerTokens: number;
  readonly maximumTokens: number;
  readonly isStreaming: boolean;
}

interface ServiceWork {
  readonly type: 'service';
  readonly pool: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
  readonly idempotencyKey: string | undefined;
}

/** One call of the load, drawn before the run; times in wall milliseconds. */
export interface PlannedCall {
  /** The caller's own mark, unique in a run. */
  readonly label: string;
  /** Time of sending from the start of the run. */
  readonly atMs: number;
  /** Place of the entry that the balancer chose. */
  readonly entry: number;
  readonly team: string;
  readonly tier: Tier;
  readonly kind: string;
  readonly deadlineMs: number;
  /** Time after which the caller hangs up, if it does. */
  readonly hangUpAfterMs: number | undefined;
  /** True when the caller comes back after a `Retry-After`. */
  readonly comesBack: boolean;
  readonly work: EngineWork | ServiceWork;
}
