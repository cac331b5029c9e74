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
import type { Reservation } from '@parsleyhall/protocol';
import { createSideReducer, type SideEvent, type SideSettings } from '@parsleyhall/side';
import { newSlopeConfiguration } from './newSlopeConfiguration.js';
import { reduceAll } from './reduceAll.js';
import type { Scenario } from './scenario.js';
import type { ScenarioSize } from './scenarioSize.js';

const NOW_MS = 1_000;
const DEADLINE_MS = 600_000;

const SETTINGS: SideSettings = {
  side: 'side-1' as SideId,
  incarnation: 'life-1' as Incarnation,
  host: 'host-1' as HostName,
  dataCentre: 'maadi',
  pool: 'pool' as PoolName,
  models: ['model'],
  kind: 'engine',
  initialWindowRequests: 1,
  maximumWindowRequests: 64,
  grantLeaseMs: 1_000_000,
  heartbeatMs: 500,
  peerTimeoutMs: 10_000_000,
  answerRetentionMs: 60_000,
  maximumWaiting: 1_000_000,
  longPrefillTokens: 2_000,
};

const getEntry = (place: number, size: ScenarioSize): EntryId =>
  `entry-${place % size.peers}` as EntryId;

const newReservation = (place: number, size: ScenarioSize): Reservation => ({
  requestId: `request-${place}` as RequestId,
  pool: SETTINGS.pool,
  model: 'model',
  tier: ((place % 4) + 1) as Tier,
  team: `team-${place % size.teams}` as TeamName,
  kind: 'draft',
  deadlineLeftMs: DEADLINE_MS + place,
  prefillTokens: 500,
  decodeTokens: 100,
  prefixFingerprints: [1, 2, 3, 4],
  isNonIdempotent: false,
});

const newReserve = (place: number, size: ScenarioSize): SideEvent => ({
  type: 'entryMessage',
  nowMs: NOW_MS,
  entry: getEntry(place, size),
  message: { type: 'reserve', reservation: newReservation(place, size) },
});

const newEntries = (size: ScenarioSize): readonly SideEvent[] =>
  Array.from({ length: size.peers }, (_, place) => getEntry(place, size)).flatMap(
    (entry): readonly SideEvent[] => [
      { type: 'entryConnected', nowMs: NOW_MS, entry },
      {
        type: 'entryMessage',
        nowMs: NOW_MS,
        entry,
        message: {
          type: 'hello',
          entry,
          incarnation: 'life-1' as Incarnation,
          configurationVersion: 1,
        },
      },
    ],
  );

/** A side process with waiting reservations of many entries and teams. */
export const newSideScenario = (size: ScenarioSize): Scenario => {
  const { initialState, reduce } = createSideReducer(SETTINGS);
  const configuration = newSlopeConfiguration(size.teams);
  const state = reduceAll(reduce, initialState, [
    { type: 'configurationFolded', nowMs: NOW_MS, configuration },
    ...newEntries(size),
    ...Array.from({ length: size.waiting }, (_, place) => newReserve(place, size)),
    { type: 'tick', nowMs: NOW_MS },
  ]);
  const place = size.waiting + 1;
  const { requestId } = newReservation(place, size);
  const entry = getEntry(place, size);
  const withdraw: SideEvent = {
    type: 'entryMessage',
    nowMs: NOW_MS,
    entry,
    message: { type: 'withdraw', requestId },
  };
  const heartbeat: SideEvent = {
    type: 'entryMessage',
    nowMs: NOW_MS,
    entry,
    message: { type: 'heartbeat', configurationVersion: 1 },
  };
  const run = (...events: readonly SideEvent[]): void => {
    reduceAll(reduce, state, events);
  };
  return {
    state,
    steps: [
      {
        name: 'reserve and withdraw',
        events: 2,
        run: () => {
          run(newReserve(place, size), withdraw);
        },
      },
      {
        name: 'heartbeat received',
        events: 1,
        run: () => {
          run(heartbeat);
        },
      },
      {
        name: 'tick without a period due',
        events: 1,
        run: () => {
          run({ type: 'tick', nowMs: NOW_MS + 1 });
        },
      },
      {
        name: 'tick with digests and heartbeats to all peers',
        events: 1,
        run: () => {
          run({ type: 'tick', nowMs: NOW_MS + 5_000 });
        },
      },
    ],
  };
};
