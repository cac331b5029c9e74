import type { EntrySettings } from '../entrySettings.js';
import { getDueAtMs } from './getDueAtMs.js';
import type { RequestPhase } from './requestPhase.js';
import type { TrackedRequest } from './trackedRequest.js';

/** The request in another phase, with its due time. */
export const withPhase = (
  settings: EntrySettings,
  tracked: TrackedRequest,
  phase: RequestPhase,
): TrackedRequest => ({
  ...tracked,
  phase,
  dueAtMs: getDueAtMs(settings, tracked.request, phase),
});
