import type { SideDecisions } from '../sideDecisions.js';
import type { SideSettings } from '../sideSettings.js';

/** What every step of the reducer may read besides the state. */
export interface SideContext {
  readonly settings: SideSettings;
  readonly decisions: SideDecisions;
  readonly nowMs: number;
}
