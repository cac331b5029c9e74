import type { EstimatesState } from '../estimates/estimatesState.js';
import type { Occupancy } from './occupancy.js';

/** What the window is learned from, with what is known at that moment. */
export type WindowObservation = {
  readonly nowMs: number;
  readonly occupancy: Occupancy;
  readonly estimates: EstimatesState;
  readonly maximumRequests: number;
  /** Bound of the time between tokens in the preset in force, in milliseconds; absent without one. */
  readonly betweenTokensBoundMs: number | undefined;
} & (
  | { readonly type: 'token' }
  | { readonly type: 'response'; readonly responseMs: number }
  | { readonly type: 'overdue'; readonly sinceMs: number }
  | { readonly type: 'moving' }
  | {
      readonly type: 'report';
      readonly keyValueUsedShare: number;
      readonly waitingRequests: number;
      readonly ageMs: number;
    }
);
