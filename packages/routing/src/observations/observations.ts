const REQUEST_FIELDS = [
  'requestId',
  'route',
  'service',
  'tier',
  'ageMs',
  'leftMs',
  'sends',
] as const;
const OPTIONAL_REQUEST_FIELDS = [
  'attemptId',
  'team',
  'teamPriority',
  'isBeyondQuota',
  'target',
  'unreadMs',
] as const;
const WAIT_FIELDS = ['waitMs', 'heldSlots', 'urgentSlots'] as const;
const OUTCOME_FIELDS = ['oldResponses', 'oldBad', 'newResponses', 'newBad'] as const;
const REFUSAL_FIELDS = ['reason', 'status', 'mayHaveRun'] as const;

/** Every log event of the scheduler: its meaning, its fields and its optional fields. */
export const OBSERVATIONS = {
  requestQueued: {
    text: 'a request was queued because no target has a free slot',
    fields: [...REQUEST_FIELDS, 'ahead', ...WAIT_FIELDS, 'version'],
    optional: OPTIONAL_REQUEST_FIELDS,
  },
  requestSent: {
    text: 'a request was sent to a target',
    fields: [...REQUEST_FIELDS, 'sendId', 'address', 'totalInFlight', 'placement', 'version'],
    optional: [
      ...OPTIONAL_REQUEST_FIELDS,
      'promptParts',
      'workTimeFactor',
      'heldTokens',
      'freeTokens',
    ],
  },
  sendFailed: {
    text: 'a send ended without a complete response',
    fields: ['requestId', 'sendId', 'target', 'failure', 'afterMs', 'hasBegun'],
    optional: ['attemptId', 'promptParts', 'responseFault', 'eventId', 'lastEventId', 'mediaType'],
  },
  requestQueuedAgain: {
    text: 'a request was queued again after a send',
    fields: [...REQUEST_FIELDS, 'result'],
    optional: OPTIONAL_REQUEST_FIELDS,
  },
  requestAnswered: {
    text: "a target's response was forwarded in full",
    fields: [...REQUEST_FIELDS, 'targetStatus', 'events', 'waitedMs', 'firstMs', 'longestGapMs'],
    optional: [...OPTIONAL_REQUEST_FIELDS, 'lastEventId', 'mediaType', 'isFramed'],
  },
  requestRefused: {
    text: 'the entry refused a request with its own response',
    fields: ['requestId', ...REFUSAL_FIELDS, 'version'],
    optional: [
      ...OPTIONAL_REQUEST_FIELDS,
      'route',
      'service',
      'tier',
      'ageMs',
      'leftMs',
      'sends',
      'retryAfterMs',
      ...WAIT_FIELDS,
      'prefillMs',
      'callerHost',
      'configurationAgeMs',
      'cost',
      'perSecond',
      'burst',
      'promptParts',
    ],
  },
  requestBrokenOff: {
    text: 'a response that had started was cut off',
    fields: [...REQUEST_FIELDS, ...REFUSAL_FIELDS, 'version'],
    optional: [...OPTIONAL_REQUEST_FIELDS, 'retryAfterMs'],
  },
  callerGone: {
    text: 'a caller disconnected before its response was complete',
    fields: REQUEST_FIELDS,
    optional: OPTIONAL_REQUEST_FIELDS,
  },
  configurationInForce: {
    text: 'the entry switched to a newer configuration',
    fields: ['version', 'routes', 'teams'],
    optional: [],
  },
  clockJumped: {
    text: 'a clock was set or the host was suspended; the configuration is confirmed immediately',
    fields: ['jumpMs'],
    optional: [],
  },
  peerLost: {
    text: 'another entry has become silent; its share of the quotas is set aside',
    fields: ['peer', 'silentMs'],
    optional: [],
  },
  peerHeard: {
    text: 'another entry was heard for the first time, or again after a silence',
    fields: ['peer'],
    optional: [],
  },
  promptQuarantined: {
    text: 'requests with all of these prompt parts are refused, since they crash targets',
    fields: ['promptParts', 'restMs', 'source'],
    optional: ['crashes'],
  },
  promptQuarantineNarrowed: {
    text: 'of the parts of a quarantine only these are left, since a target answered with the others',
    fields: ['promptParts'],
    optional: [],
  },
  promptTried: {
    text: 'a request under quarantine is let through to see whether it still crashes a target',
    fields: ['promptParts', 'requestId'],
    optional: [],
  },
  promptReleased: {
    text: 'a quarantine ended because a target answered a request with its parts',
    fields: ['promptParts'],
    optional: [],
  },
  targetListed: {
    text: 'a target is new in the list, or its record has changed',
    fields: ['target', 'service', 'address', 'isLeaving'],
    optional: [],
  },
  targetGone: {
    text: 'a target is no longer in the list',
    fields: ['target', 'service', 'address'],
    optional: [],
  },
  targetLeaves: {
    text: 'a target reported in a response that it is draining; it gets no new work',
    fields: ['target', 'service'],
    optional: [],
  },
  targetRefuses: {
    text: 'a target refused a request and accepts none from this entry for a while',
    fields: ['target', 'service', 'restMs'],
    optional: [],
  },
  loadReportIgnored: {
    text: 'a target reported its load in a form that cannot be used; such reports are ignored until a valid one',
    fields: ['target', 'service'],
    optional: [],
  },
  targetLimitChanged: {
    text: 'a target named another limit on the requests that it takes from all entries together, or none',
    fields: ['target', 'source'],
    optional: ['limitPerSecond'],
  },
  rolloutOrdered: {
    text: 'an order to move a service to another version was read',
    fields: ['service', 'targetVersion', 'durationMs'],
    optional: [],
  },
  rolloutStage: {
    text: 'a roll-out entered a stage; the figures are those of the entry that wrote its record',
    fields: [
      'service',
      'targetVersion',
      'stage',
      'step',
      'reason',
      'writer',
      'source',
      'ageMs',
      ...OUTCOME_FIELDS,
    ],
    optional: [],
  },
  rolloutJudgedBad: {
    text: 'the version of a roll-out is bad, by this entry or another one; this entry sends nothing to it',
    fields: ['service', 'targetVersion', 'source', 'ageMs', ...OUTCOME_FIELDS],
    optional: [],
  },
  rolloutRecordsKnown: {
    text: "the entry knows the newest records of roll-outs, from the platform's store or from all other entries",
    fields: ['recordsAgeMs'],
    optional: [],
  },
  rolloutRecordsOutdated: {
    text: 'the entry may not know the newest records of roll-outs; it soon sends to no target with a version',
    fields: ['recordsAgeMs'],
    optional: [],
  },
  sendLeftForRollout: {
    text: 'a send to an old target was given up, since the target may stop at any moment',
    fields: ['requestId', 'sendId', 'target', 'service'],
    optional: [],
  },
  targetRests: {
    text: 'a target is on cooldown after a failed send and gets no new work for a while',
    fields: ['target', 'service', 'restMs', 'failureShare'],
    optional: [],
  },
} as const;
