import { Map } from 'immutable';
import type { PromptFaults } from './promptFaults.js';

/** The knowledge of an entry that has seen no crash. */
export const newPromptFaults = (): PromptFaults => ({
  suspicions: Map(),
  answeredAtMs: Map(),
  quarantines: Map(),
  isDecisionDue: false,
  isReportDue: false,
  reportedAtMs: -Infinity,
  isPersistenceDue: false,
  persistedAtMs: -Infinity,
});
