import { OBSERVED_FIELDS } from '@parsleyhall/routing';

/** Every field of the log, including those of decisions: its type and its meaning, with the unit. */
export const LOG_FIELDS = {
  ...OBSERVED_FIELDS,
  cause: { type: 'string', text: 'why the settings file was read again: signal or change' },
  connections: { type: 'number', text: "callers' connections" },
  detail: { type: 'string', text: 'what the library or the other side reported' },
  fault: { type: 'string', text: 'what is wrong, and where' },
  heldBytes: { type: 'number', text: 'bytes of memory that the connection held' },
  key: { type: 'string', text: "key of a record in the store; never a team's key" },
  knownSequence: { type: 'number', text: 'number of the newest record of the target that is used' },
  knownStartedAtMs: {
    type: 'number',
    text: 'when the target started according to that record, in milliseconds since the Unix epoch',
  },
  lines: { type: 'number', text: 'number of log lines' },
  open: { type: 'number', text: 'requests without a final response' },
  recordAgeMs: { type: 'number', text: 'milliseconds since the record was written' },
  sequence: { type: 'number', text: 'number of the record since the start of its target' },
  startedAtMs: {
    type: 'number',
    text: 'when the target started, in milliseconds since the Unix epoch',
  },
  stalledMs: { type: 'number', text: 'milliseconds between two ticks of the process' },
  topic: { type: 'string', text: "topic of the platform's store" },
  type: { type: 'string', text: 'kind of failure or effect' },
} as const;
