import type { ArrivedRequest } from '../arrivedRequest.js';
import type { KeyClaim } from '../keys/keyClaim.js';
import type { AnswerProgress } from './answerProgress.js';
import type { RequestPhase } from './requestPhase.js';

/** A request from its arrival to its final answer. */
export interface TrackedRequest {
  readonly request: ArrivedRequest;
  readonly arrivedAtMs: number;
  /** Order of arrival at this entry. */
  readonly sequence: number;
  readonly phase: RequestPhase;
  /** When the request needs attention next, its rank in the index of due times. */
  readonly dueAtMs: number;
  readonly isCallerGone: boolean;
  readonly claim: KeyClaim | undefined;
  readonly answer: AnswerProgress;
}
