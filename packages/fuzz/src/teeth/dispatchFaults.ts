import type { DeliberateFault } from './deliberateFault.js';

/** Faults against a dispatch at most once, and against a truthful "not run". */
export const DISPATCH_FAULTS: readonly DeliberateFault[] = [
  {
    name: 'a second dispatch after a broken stream',
    promise: 'dispatchedAtMostOnce',
    kinds: ['cutLink'],
    entry: { settleBrokenGive: () => 'placeAgain' },
  },
  {
    name: 'a second dispatch after an unknown fate',
    promise: 'dispatchedAtMostOnce',
    kinds: ['killSide'],
    entry: { settleUnknownFate: () => 'placeAgain' },
  },
  {
    name: 'a give for every grant offered',
    promise: 'dispatchedAtMostOnce',
    kinds: ['burst'],
    entry: { mayGive: () => true },
  },
  {
    name: 'a grant used twice',
    promise: 'dispatchedAtMostOnce',
    kinds: ['disturbLink'],
    side: { isGrantUsable: () => true, isAlreadyCalled: () => false },
  },
  {
    name: '"not run" after an unacknowledged give',
    promise: 'notRunIsTrue',
    kinds: ['cutLink'],
    entry: { settleBrokenGive: () => 'notRun' },
  },
  {
    name: '"not run" after an unknown fate',
    promise: 'notRunIsTrue',
    kinds: ['killSide'],
    entry: { settleUnknownFate: () => 'notRun' },
  },
  {
    name: '"never received" from a successor that cannot know',
    promise: 'dispatchedAtMostOnce',
    kinds: ['killSide'],
    side: { fateOfUnknownGrant: () => 'neverReceived' },
  },
  {
    name: 'a burnt grant used',
    promise: 'dispatchedAtMostOnce',
    kinds: ['disturbLink'],
    side: { isGrantUsable: () => true },
  },
];
