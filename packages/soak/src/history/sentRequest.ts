import type { RequestKind } from './requestKind.js';

/** A request as its caller observed it. Times are milliseconds of the soak's monotonic clock. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly entry: number;
  readonly sentMs: number;
  /** When the caller closed the connection before the response was complete; undefined if it did not. */
  leftMs?: number;
  /** Status of the response; undefined if there was none. */
  status?: number;
  /** The part of the response body that arrived. */
  body: string;
  /** Whether the response was complete. */
  isWhole: boolean;
  /** When the request ended, with or without a complete response; undefined while it is pending. */
  endedMs?: number;
}
