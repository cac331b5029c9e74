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
};

test.each(Object.entries(SCHEDULES))('%s', (_name, schedule) => {
  expect(findViolations(schedule)).toEqual([]);
});
