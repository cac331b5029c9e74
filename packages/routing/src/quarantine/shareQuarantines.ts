import type { Map } from 'immutable';
import type { Quarantine } from './quarantine.js';
import type { SharedQuarantine } from './sharedQuarantine.js';

/** The quarantines in the form in which entries pass them on. */
export const shareQuarantines = (
  quarantines: Map<string, Quarantine>,
  nowMs: number,
): readonly SharedQuarantine[] =>
  [...quarantines.values()].map(({ parts, suspectedSinceMs, heldUntilMs, holdMs }) => ({
    parts,
    ageMs: Math.round(nowMs - suspectedSinceMs),
    leftMs: Math.round(heldUntilMs - nowMs),
    holdMs,
  }));
