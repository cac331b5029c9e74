import type { DeliberateFault } from './deliberateFault.js';

/** Faults against the whole own answer, and against shedding from the lowest tier up. */
export const ANSWER_FAULTS: readonly DeliberateFault[] = [
  {
    name: 'an answer taken up again one byte late',
    promise: 'wholeOwnAnswer',
    kinds: ['cutLink'],
    entry: { getResumeByte: ({ answer }) => answer.bytesReceived + 1 },
  },
  {
    name: 'a cut answer called whole',
    promise: 'wholeOwnAnswer',
    kinds: ['disturbLink'],
    entry: { isWholeAnswer: () => true },
  },
  {
    name: 'shedding by arrival at entries',
    promise: 'sheddingOrder',
    kinds: ['burst'],
    entry: { shedsLowerTierFirst: () => false, shedsLowerTierElsewhereFirst: () => false },
  },
  {
    name: 'shedding by arrival at side processes, which entries follow',
    promise: 'sheddingOrder',
    kinds: ['burst'],
    entry: { shedsLowerTierFirst: () => false },
    side: { chooseShed: () => undefined },
  },
];
