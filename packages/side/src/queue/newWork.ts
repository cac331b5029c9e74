import type { Reservation } from '@parsleyhall/protocol';
import type { Work } from './work.js';

/** What the order and the window need to know of a reservation. */
export const newWork = (reservation: Reservation, longPrefillTokens: number): Work => ({
  tier: reservation.tier,
  team: reservation.team,
  kind: reservation.kind,
  prefillTokens: reservation.prefillTokens,
  decodeTokens: reservation.decodeTokens,
  isLongPrefill: reservation.prefillTokens >= longPrefillTokens,
  isNonIdempotent: reservation.isNonIdempotent,
});
