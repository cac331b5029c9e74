import type {
  EntryId,
  HostName,
  Incarnation,
  PoolName,
  RequestId,
  SideId,
  TeamName,
  Tier,
} from '@parsleyhall/common';
import {
  createEntryReducer,
  type ArrivedRequest,
  type EntryEvent,
  type EntrySettings,
} from '@parsleyhall/entry';
import type { SideDigest, SideToEntryMessage } from '@parsleyhall/protocol';
import { newSlopeConfiguration } from './newSlopeConfiguration.js';
import { reduceAll } from './reduceAll.js';
import type { Scenario } from './scenario.js';
import type { ScenarioSize } from './scenarioSize.js';

const NOW = { nowMs: 1_000, wallMs: 1_700_000_000_000 };
const DEADLINE_MS = 600_000;
const POOL = 'pool' as PoolName;
const BODY_BYTES = 256;

const SETTINGS: EntrySettings = {
  entry: 'entry-1' as EntryId,
  incarnation: 'life-1' as Incarnation,
  host: 'entry-host-1' as HostName,
  dataCentre: 'maadi',
  heartbeatMs: 500,
  peerTimeoutMs: 10_000_000,
  settleAllowanceMs: 2_000,
  reservationsPerRequest: 8,
  maximumWaiting: 1_000_000,
  maximumWaitingBytes: 10_000_000_000,
  keyPartitions: 4,
  logRetentionMs: 86_400_000,
  clockToleranceMs: 2_000,
  longPrefillTokens: 2_000,
};

const DIGEST: SideDigest = {
  runningRequests: 8,
  windowRequests: 8,
  prefillTokensAhead: 500,
  waitingTokensByTier: [0, 0, 0, 0],
  waitingByTier: [0, 0, 0, 0],
  runningByTier: [2, 2, 2, 2],
  prefillTokensPerSecond: 10_000,
  decodeTokensPerSecond: 1_000,
  predictedWaitMsByTier: [10, 20, 40, 80],
  lowestTierAdmitted: 4,
  takesLongPrefills: true,
  isLeaving: false,
};

const getSide = (place: number): SideId => `side-${place}` as SideId;

const newRequest = (place: number, size: ScenarioSize): ArrivedRequest => ({
  requestId: `request-${place}` as RequestId,
  team: `team-${place % size.teams}` as TeamName,
  tier: ((place % 4) + 1) as Tier,
  pool: POOL,
  model: 'model',
  kind: 'draft',
  deadlineMs: NOW.nowMs + DEADLINE_MS + place,
  prefillTokens: 500,
  decodeTokens: 100,
  prefixFingerprints: [1, 2, 3, 4],
  call: {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {},
    body: new Uint8Array(BODY_BYTES),
    isStreaming: true,
  },
});

const newMessage = (side: SideId, message: SideToEntryMessage): EntryEvent => ({
  ...NOW,
  type: 'sideMessage',
  side,
  message,
});

const newSides = (size: ScenarioSize): readonly EntryEvent[] => {
  const sides = Array.from({ length: size.peers }, (_, place) => getSide(place));
  const hosts = sides.map((side) => ({
    host: `host-of-${side}` as HostName,
    side,
    address: '127.0.0.1:1',
    isLeaving: false,
  }));
  const greetings = sides.flatMap((side): readonly EntryEvent[] => [
    { ...NOW, type: 'sideConnected', side },
    newMessage(side, {
      type: 'hello',
      side,
      incarnation: 'life-1' as Incarnation,
      host: `host-of-${side}` as HostName,
      dataCentre: 'maadi',
      pool: POOL,
      models: ['model'],
      configurationVersion: 1,
      isLeaving: false,
    }),
    newMessage(side, { type: 'digest', digest: DIGEST }),
  ]);
  return [{ ...NOW, type: 'hostsListed', hosts, liveEntries: 1 }, ...greetings];
};

/** An entry with waiting requests of many teams and streams to many side processes. */
export const newEntryScenario = (size: ScenarioSize): Scenario => {
  const { initialState, reduce } = createEntryReducer(SETTINGS);
  const configuration = newSlopeConfiguration(size.teams);
  const newArrival = (place: number): EntryEvent => ({
    ...NOW,
    type: 'requestArrived',
    request: newRequest(place, size),
  });
  const state = reduceAll(reduce, initialState, [
    { ...NOW, type: 'configurationFolded', configuration },
    ...newSides(size),
    ...Array.from({ length: size.waiting }, (_, place) => newArrival(place)),
    { ...NOW, type: 'tick' },
  ]);
  const place = size.waiting + 1;
  const { requestId } = newRequest(place, size);
  const run = (...events: readonly EntryEvent[]): void => {
    reduceAll(reduce, state, events);
  };
  return {
    state,
    steps: [
      {
        name: 'arrival and hang-up',
        events: 2,
        run: () => {
          run(newArrival(place), { ...NOW, type: 'callerHungUp', requestId });
        },
      },
      {
        name: 'digest received',
        events: 1,
        run: () => {
          const digest = { ...DIGEST, runningRequests: 9 };
          run(newMessage(getSide(0), { type: 'digest', digest }));
        },
      },
      {
        name: 'heartbeat received',
        events: 1,
        run: () => {
          run(newMessage(getSide(0), { type: 'heartbeat', configurationVersion: 1 }));
        },
      },
      {
        name: 'tick without a period due',
        events: 1,
        run: () => {
          run({ ...NOW, nowMs: NOW.nowMs + 1, type: 'tick' });
        },
      },
      {
        name: 'tick with heartbeats to all peers',
        events: 1,
        run: () => {
          run({ ...NOW, nowMs: NOW.nowMs + 5_000, type: 'tick' });
        },
      },
    ],
  };
};
