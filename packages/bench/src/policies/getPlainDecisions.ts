import { assertNever } from '@parsleyhall/common';
import type { EntryDecisions } from '@parsleyhall/entry';
import type { SideDecisions } from '@parsleyhall/side';
import { chooseLeastLoaded } from './chooseLeastLoaded.js';
import { chooseOfTwo } from './chooseOfTwo.js';
import { chooseRoundRobin } from './chooseRoundRobin.js';
import type { PolicyName } from './policyName.js';

interface PlainDecisions {
  readonly entry: Partial<EntryDecisions>;
  readonly side: Partial<SideDecisions>;
}

// A plain proxy holds nothing back: it predicts no deadline, sheds nothing and sends all it gets to its target.
const UNGUARDED: Partial<SideDecisions> = {
  hasRoom: () => true,
  allowsLongPrefill: () => true,
  predictsInTime: () => true,
  isOverloaded: () => false,
};

const getPlacement = (policy: PolicyName): EntryDecisions['choosePlacement'] | undefined => {
  switch (policy) {
    case 'late-binding':
      return undefined;
    case 'round-robin':
      return chooseRoundRobin;
    case 'two-choices':
      return chooseOfTwo;
    case 'least-loaded-report':
      return chooseLeastLoaded;
    default:
      return assertNever(policy);
  }
};

/** The decisions that make the product's reducers push: an early choice of one target that takes all it is sent. */
export const getPlainDecisions = (policy: PolicyName): PlainDecisions => {
  const choosePlacement = getPlacement(policy);
  return choosePlacement === undefined
    ? { entry: {}, side: {} }
    : { entry: { choosePlacement }, side: UNGUARDED };
};
