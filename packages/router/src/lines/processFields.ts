/** Every field of a log line about the process: its type and what it holds, with the unit. */
export const PROCESS_FIELDS = {
  address: { type: 'string', text: 'IP address and port' },
  attemptId: { type: 'string', text: "the caller's own id of the attempt" },
  cause: { type: 'string', text: 'why the settings were read: signal or change' },
  detail: { type: 'string', text: 'what the library or the other side said' },
  fault: { type: 'string', text: 'what is wrong, and where' },
  key: { type: 'string', text: 'key of a record in the store; never a key of a team' },
  lines: { type: 'number', text: 'lines' },
  open: { type: 'number', text: 'requests without a final answer' },
  reason: { type: 'string', text: 'why the request was not taken in' },
  recordAgeMs: { type: 'number', text: 'milliseconds since the record was written' },
  status: { type: 'number', text: "status of the process's own answer" },
  topic: { type: 'string', text: "topic of the platform's store" },
  type: { type: 'string', text: 'kind of the failure or of the effect' },
} as const;
