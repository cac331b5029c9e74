import type { EntryDecisions } from './decisions/entryDecisions.js';
import type { EntrySettings } from './entrySettings.js';

/** What every part of the reducer may use besides the state: settings, decisions and the event's times. */
export interface EntryScope {
  readonly settings: EntrySettings;
  readonly decisions: EntryDecisions;
  readonly nowMs: number;
  readonly wallMs: number;
}
