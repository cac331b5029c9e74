import { OBSERVED_FIELDS } from '@parsleyhall/routing';

/** Every field of a log line, those of decisions with them: its type and what it holds, with the unit. */
export const PROCESS_FIELDS = {
  ...OBSERVED_FIELDS,
  cause: { type: 'string', text: 'why the settings were read: signal or change' },
  connections: { type: 'number', text: 'connections of callers' },
  detail: { type: 'string', text: 'what the library or the other side said' },
  fault: { type: 'string', text: 'what is wrong, and where' },
  key: { type: 'string', text: 'key of a record in the store; never a key of a team' },
  lines: { type: 'number', text: 'lines' },
  open: { type: 'number', text: 'requests without a final answer' },
  recordAgeMs: { type: 'number', text: 'milliseconds since the record was written' },
  stalledMs: { type: 'number', text: 'milliseconds between two rounds of checks' },
  topic: { type: 'string', text: "topic of the platform's store" },
  type: { type: 'string', text: 'kind of the failure or of the effect' },
} as const;
