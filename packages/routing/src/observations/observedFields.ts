/** Every field of the scheduler's log events: its type and its meaning, with the unit. */
export const OBSERVED_FIELDS = {
  address: { type: 'string', text: 'IP address and port' },
  afterMs: { type: 'number', text: 'milliseconds since the request was sent' },
  ageMs: {
    type: 'number',
    text: 'milliseconds since the request arrived, or the roll-out was ordered',
  },
  ahead: { type: 'number', text: 'waiting requests of the service that are sent before it' },
  attemptId: { type: 'string', text: "the caller's id of the attempt" },
  burst: { type: 'number', text: "the burst of the team's quota, in its unit" },
  callerHost: { type: 'string', text: 'the host name in the request' },
  configurationAgeMs: {
    type: 'number',
    text: 'milliseconds since the configuration was last confirmed; -1 before the first confirmation',
  },
  cost: { type: 'number', text: "the request's cost in the unit of the team's quota" },
  crashes: {
    type: 'number',
    text: 'separate crashes of targets that requests with these prompt parts explain',
  },
  durationMs: { type: 'number', text: 'milliseconds that the order allows for the roll-out' },
  eventId: {
    type: 'string',
    text: 'id of the event at which a fault was noticed, shortened; none if it states no id',
  },
  events: { type: 'number', text: 'events of the response; 0 for a non-streaming one' },
  failure: { type: 'string', text: 'how a send ended without a complete response' },
  failureShare: {
    type: 'number',
    text: 'moving average of the share of sends to the target that failed, 0 to 1',
  },
  firstMs: { type: 'number', text: "milliseconds from the arrival to the response's first event" },
  freeTokens: {
    type: 'number',
    text: 'tokens that new requests of the entry could hold at the target before this send; below 0 if it is overfull',
  },
  hasBegun: { type: 'boolean', text: 'the first piece of the response had arrived' },
  heldSlots: { type: 'number', text: 'slots of the service that the entry can count on' },
  heldTokens: {
    type: 'number',
    text: 'tokens that the request is expected to hold at its target',
  },
  isBeyondQuota: {
    type: 'boolean',
    text: 'its team has used up its quota; if admitted within the tolerance, it is queued behind the rest of its tier',
  },
  isFramed: {
    type: 'boolean',
    text: 'the response has a length or chunks; otherwise it ends with its connection',
  },
  isLeaving: { type: 'boolean', text: 'the target is draining and accepts no new work' },
  jumpMs: {
    type: 'number',
    text: 'milliseconds by which the wall clock and the monotonic clock drifted apart',
  },
  lastEventId: {
    type: 'string',
    text: 'id of the last event that the caller had received, shortened',
  },
  leftMs: { type: 'number', text: 'milliseconds until the deadline' },
  limitPerSecond: {
    type: 'number',
    text: 'requests per second that the target takes from all entries together',
  },
  longestGapMs: {
    type: 'number',
    text: 'longest pause in the response after its first bytes, in milliseconds; may be up to 100 too long',
  },
  mediaType: { type: 'string', text: "the response's Content-Type, shortened" },
  mayHaveRun: { type: 'boolean', text: 'a target may have run the request' },
  newBad: { type: 'number', text: 'responses of the new version that were failures or slow' },
  newResponses: { type: 'number', text: 'responses of the new version in this roll-out' },
  oldBad: { type: 'number', text: 'responses of old targets that were failures or slow' },
  oldResponses: { type: 'number', text: 'responses of old targets during the roll-out' },
  peer: { type: 'string', text: 'host of the other entry' },
  perSecond: { type: 'number', text: "the rate of the team's quota per second, in its unit" },
  placement: {
    type: 'string',
    text: 'home for a target in the same data centre; otherwise why it is in another one: noTarget, noRoom, contested, late, faster or cheaper',
  },
  prefillMs: {
    type: 'number',
    text: 'predicted milliseconds from sending the request to the first event of its response',
  },
  promptParts: {
    type: 'string',
    text: 'ids of the parts of the prompt that other requests may share, separated by commas',
  },
  reason: {
    type: 'string',
    text: 'why the entry refused the request, or why a roll-out entered its stage',
  },
  recordsAgeMs: {
    type: 'number',
    text: 'milliseconds since the records of roll-outs were last read; -1 before the first reading',
  },
  requestId: {
    type: 'number',
    text: 'number of the request, unique within one start of the entry',
  },
  responseFault: {
    type: 'string',
    text: 'what was wrong with a malformed response: notAnEvent, noNumber, noData, wrongStart, numberSkipped, numberTaken, noEvents, endsTooEarly, noStream, tooLong, namesAnother, namesNone, invalidStatus, invalidHead or unframedEarly',
  },
  restMs: {
    type: 'number',
    text: 'milliseconds for which the target gets no new work, or the quarantine is held',
  },
  result: {
    type: 'string',
    text: 'whether the previous send may have run: neverSent, notRun or unknown',
  },
  retryAfterMs: {
    type: 'number',
    text: 'milliseconds after which the caller may retry',
  },
  route: { type: 'string', text: 'name of the route' },
  routes: { type: 'number', text: 'routes of the configuration' },
  sendId: { type: 'number', text: 'number of the send, unique within one start of the entry' },
  sends: { type: 'number', text: 'sends of the request so far' },
  service: { type: 'string', text: 'name of the service' },
  silentMs: { type: 'number', text: 'milliseconds since the other entry was last heard' },
  source: {
    type: 'string',
    text: 'where the entry has this from: crashes that it weighed, the target, a peer (or its host) or the store',
  },
  stage: {
    type: 'string',
    text: 'stage of a roll-out: exposing, shifting, leavingOld, completed or rolledBack',
  },
  step: { type: 'number', text: "number of the record among those of the service's roll-outs" },
  status: { type: 'number', text: "status of the entry's own response" },
  targetStatus: { type: 'number', text: "status of the target's response" },
  target: { type: 'string', text: 'id of the target' },
  targetVersion: { type: 'string', text: 'version to which the roll-out moves the service' },
  team: { type: 'string', text: 'name of the team' },
  teamPriority: { type: 'number', text: "the team's priority, 0 the highest" },
  teams: { type: 'number', text: 'teams of the configuration' },
  tier: { type: 'number', text: "the route's priority, 0 the highest" },
  totalInFlight: { type: 'number', text: 'requests of all entries at the target before this send' },
  unreadMs: {
    type: 'number',
    text: 'milliseconds for which the request may have waited before the entry read it',
  },
  urgentSlots: { type: 'number', text: 'slots that more urgent arrivals are expected to occupy' },
  version: { type: 'number', text: 'version of the current configuration' },
  waitMs: {
    type: 'number',
    text: 'predicted milliseconds until the request is sent; -1 for never',
  },
  workTimeFactor: {
    type: 'number',
    text: 'how long work takes at the target at this moment, relative to what is usual for it',
  },
  waitedMs: { type: 'number', text: 'milliseconds from the arrival to the last send' },
  writer: { type: 'string', text: 'host of the entry that wrote the record' },
} as const;
