import type { RequestKind } from './requestKind.js';

/** A request as its caller saw it. All moments are milliseconds of the soak's steady clock. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly entry: number;
  readonly sentMs: number;
  /** When its caller closed its connection before the answer was whole; undefined where it did not. */
  leftMs?: number;
  /** Status of the answer; undefined where none came. */
  status?: number;
  /** What came of the answer's body. */
  body: string;
  /** The answer ended as a whole one. */
  isWhole: boolean;
  endedMs?: number;
}
