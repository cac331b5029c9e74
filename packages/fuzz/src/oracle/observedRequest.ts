import type { FinalFailure } from '@parsleyhall/entry';
import type { History } from '../world/history.js';

type Fact = History['facts'][number];

/** One caller's request: what the caller saw, and what the targets saw. */
export interface ObservedRequest {
  readonly arrival: Extract<Fact, { readonly type: 'requestArrived' }>;
  readonly runs: readonly Extract<Fact, { readonly type: 'runStarted' }>[];
  /** Everything that its entry sent to the caller, in order. */
  readonly answers: readonly Extract<
    Fact,
    { readonly type: 'answerHead' | 'answerBytes' | 'answerEnd' | 'answerFailure' }
  >[];
  /** When the last word was said to the caller. */
  readonly finalAtMs: number | undefined;
  readonly failure: FinalFailure | undefined;
  readonly isWhole: boolean;
  readonly hungUpAtMs: number | undefined;
  /** When the entry died with the request unanswered. */
  readonly cutAtMs: number | undefined;
}
