import type { DeliberateFault } from './deliberateFault.js';

const NO_PLACEMENT = { first: [], later: [] } as const;

/** Faults against drains, planned stops, the configuration in force, and answers at all. */
export const OPERATION_FAULTS: readonly DeliberateFault[] = [
  {
    name: 'a drained host that goes on granting',
    promise: 'leavingTargetGetsNoNewWork',
    kinds: ['drain'],
    side: {
      acceptsNewWork: ({ isHostLeaving, isStopRequested }) => !isHostLeaving && !isStopRequested,
    },
  },
  {
    name: 'a listed host that goes on granting',
    promise: 'leavingTargetGetsNoNewWork',
    kinds: ['listLeaving'],
    side: { acceptsNewWork: ({ isDrained, isStopRequested }) => !isDrained && !isStopRequested },
  },
  {
    name: 'an entry that stops without waiting',
    promise: 'plannedStopCutsNothing',
    kinds: ['stopEntry'],
    entry: { mayStop: () => true },
  },
  {
    name: 'a side process that stops without waiting',
    promise: 'plannedStopCutsNothing',
    kinds: ['stopSide'],
    side: { mayStop: () => true },
  },
  {
    name: 'an entry that accepts a lower version',
    promise: 'configurationInForce',
    kinds: ['publish', 'pauseSide'],
    entry: { acceptsConfiguration: () => true },
  },
  {
    name: 'a side process that accepts a lower version',
    promise: 'configurationInForce',
    kinds: ['publish', 'pauseEntry'],
    side: { acceptsConfiguration: () => true },
  },
  {
    name: 'a side process that keeps its first configuration',
    promise: 'configurationInForce',
    kinds: ['publish'],
    side: { acceptsConfiguration: ({ version }) => version === 0 },
  },
  {
    name: 'an entry that places nothing',
    promise: 'servesWhenCalm',
    kinds: [],
    entry: { choosePlacement: () => NO_PLACEMENT },
  },
  {
    name: 'a side process that never has room',
    promise: 'servesWhenCalm',
    kinds: [],
    side: { hasRoom: () => false },
  },
  {
    name: 'a request that is settled for ever',
    promise: 'answeredInTime',
    kinds: ['disturbLink'],
    entry: { isWholeAnswer: () => false, isOwnGrant: () => false },
  },
];
