import { assertNever } from '@parsleyhall/common';
import type { EntrySettings } from '../entrySettings.js';
import type { ArrivedRequest } from '../arrivedRequest.js';
import type { RequestPhase } from './requestPhase.js';

/** When a request in a phase needs attention if nothing else happens. */
export const getDueAtMs = (
  settings: EntrySettings,
  request: ArrivedRequest,
  phase: RequestPhase,
): number => {
  switch (phase.type) {
    case 'claiming':
    case 'joining':
      return request.deadlineMs;
    case 'waiting':
      return phase.reservedAt.length === 0 || phase.laterAt.length > 0
        ? Math.min(request.deadlineMs, phase.widenAtMs)
        : request.deadlineMs;
    case 'given':
    case 'settling':
      return request.deadlineMs + settings.settleAllowanceMs;
    default:
      return assertNever(phase);
  }
};
