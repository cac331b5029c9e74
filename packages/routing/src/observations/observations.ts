const REQUEST = ['requestId', 'route', 'service', 'tier', 'ageMs', 'leftMs', 'sends'] as const;
const REQUEST_TOO = [
  'attemptId',
  'team',
  'teamPriority',
  'isBeyondQuota',
  'target',
  'unreadMs',
] as const;
const WAIT = ['waitMs', 'heldSlots', 'urgentSlots'] as const;
const ENDING = ['reason', 'status', 'mayHaveRun'] as const;

/** Every decision that the scheduler tells of: what it means, its fields, and those that it has only at times. */
export const OBSERVATIONS = {
  requestQueued: {
    text: 'a request waits, since no target has room for it',
    fields: [...REQUEST, 'ahead', ...WAIT, 'version'],
    optional: REQUEST_TOO,
  },
  requestSent: {
    text: 'a request was handed over to a target',
    fields: [...REQUEST, 'sendId', 'address', 'totalInFlight', 'version'],
    optional: REQUEST_TOO,
  },
  sendFailed: {
    text: 'a send brought no whole answer',
    fields: ['requestId', 'sendId', 'target', 'failure', 'afterMs'],
    optional: ['attemptId'],
  },
  requestQueuedAgain: {
    text: 'a request waits again after a send',
    fields: [...REQUEST, 'result'],
    optional: REQUEST_TOO,
  },
  requestAnswered: {
    text: "a target's answer was handed on whole",
    fields: [...REQUEST, 'targetStatus', 'events', 'waitedMs', 'firstMs', 'longestGapMs'],
    optional: REQUEST_TOO,
  },
  requestRefused: {
    text: "a request got the entry's own final answer",
    fields: ['requestId', ...ENDING, 'version'],
    optional: [
      ...REQUEST_TOO,
      'route',
      'service',
      'tier',
      'ageMs',
      'leftMs',
      'sends',
      'retryAfterMs',
      ...WAIT,
      'prefillMs',
      'callerHost',
      'configurationAgeMs',
      'cost',
      'perSecond',
      'burst',
    ],
  },
  requestBrokenOff: {
    text: 'an answer that had begun was cut',
    fields: [...REQUEST, ...ENDING, 'version'],
    optional: [...REQUEST_TOO, 'retryAfterMs'],
  },
  callerGone: {
    text: 'a caller left before its answer was whole',
    fields: REQUEST,
    optional: REQUEST_TOO,
  },
  configurationInForce: {
    text: 'a newer configuration is in force here',
    fields: ['version', 'routes', 'teams'],
    optional: [],
  },
  clockJumped: {
    text: 'the clocks were set or the host was suspended; the configuration is confirmed at once',
    fields: ['jumpMs'],
    optional: [],
  },
  peerLost: {
    text: 'another entry is not heard any more; its share counts no longer',
    fields: ['peer', 'silentMs'],
    optional: [],
  },
  peerHeard: {
    text: 'another entry is heard for the first time, or again',
    fields: ['peer'],
    optional: [],
  },
  targetListed: {
    text: 'a target is new in the list, or its row has changed',
    fields: ['target', 'service', 'address', 'isLeaving'],
    optional: [],
  },
  targetGone: {
    text: 'a target is not in the list any more',
    fields: ['target', 'service', 'address'],
    optional: [],
  },
  targetLeaves: {
    text: 'a target said in an answer that it goes away; it gets nothing new',
    fields: ['target', 'service'],
    optional: [],
  },
  targetRefuses: {
    text: 'a target turned a request away and wants nothing of this entry for a while',
    fields: ['target', 'service', 'restMs'],
    optional: [],
  },
  targetRests: {
    text: 'a target gets no new work for a while after a failed send',
    fields: ['target', 'service', 'restMs', 'failureShare'],
    optional: [],
  },
} as const;
