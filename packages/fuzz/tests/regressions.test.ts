import { expect, test } from 'vitest';
import { findViolations } from '../src/findViolations.js';
import type { Schedule } from '../src/schedule/schedule.js';

const BURST = { kind: 'burst', forMs: 20, entry: 0, side: 0, variant: 0 } as const;

const SCHEDULES: Readonly<Record<string, Schedule>> = {
  'an entry that is full sheds nothing while another entry keeps a lower tier': {
    delaySeed: 0,
    arrivals: [
      {
        atMs: 0,
        entry: 0,
        tier: 1,
        team: 0,
        chunks: 1,
        deadlineMs: 100,
        kind: 'service',
      },
    ],
    faults: [
      { ...BURST, atMs: 237 },
      { ...BURST, atMs: 0 },
    ],
  },
  'a request that comes back not run after a higher tier was shed is shed too': {
    delaySeed: 307414,
    arrivals: [
      { atMs: 540, entry: 0, tier: 1, team: 0, chunks: 1, deadlineMs: 100, kind: 'service' },
    ],
    faults: [
      { kind: 'killTarget', atMs: 2274, forMs: 237, entry: 0, side: 0, variant: 0 },
      { kind: 'burst', atMs: 2336, forMs: 20, entry: 0, side: 0, variant: 11 },
      { kind: 'burst', atMs: 1648, forMs: 20, entry: 0, side: 3, variant: 2 },
    ],
  },
  'a request that a paused entry has not read yet holds no other one back': {
    delaySeed: 0,
    arrivals: [
      {
        atMs: 1,
        entry: 1,
        tier: 4,
        team: 0,
        chunks: 1,
        deadlineMs: 100,
        kind: 'service',
        keyed: 0,
      },
    ],
    faults: [
      { kind: 'pauseEntry', atMs: 0, forMs: 411, entry: 1, side: 0, variant: 0 },
      { ...BURST, atMs: 233, side: 1 },
    ],
  },
  'a paused entry gives its lower tiers their last word after the pause': {
    delaySeed: 0,
    arrivals: [
      {
        atMs: 0,
        entry: 0,
        tier: 1,
        team: 0,
        chunks: 1,
        deadlineMs: 100,
        kind: 'service',
        keyed: 0,
      },
      {
        atMs: 35,
        entry: 0,
        tier: 1,
        team: 0,
        chunks: 1,
        deadlineMs: 100,
        kind: 'service',
        keyed: 0,
        hangsUpAfterMs: 1,
      },
      {
        atMs: 615,
        entry: 1,
        tier: 4,
        team: 0,
        chunks: 1,
        deadlineMs: 100,
        kind: 'service',
        keyed: 1,
      },
    ],
    faults: [
      { kind: 'listOutage', atMs: 0, forMs: 20, entry: 0, side: 0, variant: 0 },
      { kind: 'pauseEntry', atMs: 692, forMs: 426, entry: 1, side: 0, variant: 0 },
      { ...BURST, atMs: 828, side: 3 },
    ],
  },
  'a repeat that waits for the run of another request is given up before a higher tier': {
    delaySeed: 78883,
    arrivals: [
      {
        atMs: 165,
        entry: 0,
        tier: 1,
        team: 0,
        chunks: 1,
        deadlineMs: 100,
        kind: 'service',
        keyed: 1,
      },
      {
        atMs: 645,
        entry: 0,
        tier: 4,
        team: 0,
        chunks: 1,
        deadlineMs: 307,
        kind: 'service',
        keyed: 1,
      },
    ],
    faults: [
      { kind: 'logSlow', atMs: 0, forMs: 375, entry: 0, side: 0, variant: 0 },
      { kind: 'logSlow', atMs: 0, forMs: 20, entry: 0, side: 0, variant: 0 },
      { kind: 'logSlow', atMs: 627, forMs: 292, entry: 0, side: 0, variant: 0 },
      { ...BURST, atMs: 689, side: 1 },
    ],
  },
};

test.each(Object.entries(SCHEDULES))('%s', (_name, schedule) => {
  expect(findViolations(schedule)).toEqual([]);
});
