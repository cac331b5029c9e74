import type { GrantId } from '@parsleyhall/common';
import type { WaitingReservation } from '../queue/waitingReservation.js';

/** Room offered to a reservation; times are on this process's monotonic clock, in milliseconds. */
export interface Grant {
  readonly grantId: GrantId;
  readonly waiting: WaitingReservation;
  readonly expiresAtMs: number;
  /** What the team was charged for it, in tokens over its weight. */
  readonly charge: number;
  /** A burnt grant was declined, taken back, expired or voided: it can never be used. */
  readonly status: 'outstanding' | 'used' | 'burnt';
}
