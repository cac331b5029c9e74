import { expect, test } from 'vitest';
import type { SideSettings } from '../src/index.js';
import { SideHarness } from './sideHarness.js';

const WAITING = 20_000;
const SETTINGS: Partial<SideSettings> = {
  initialWindowRequests: 1,
  maximumWaiting: WAITING,
  grantLeaseMs: 1_000_000,
  peerTimeoutMs: 1_000_000,
};

const newFullQueue = (): SideHarness => {
  const harness = new SideHarness(SETTINGS, { isOverloaded: () => false }).start('entry-1');
  for (let index = 0; index < WAITING; index += 1) {
    harness.reserve('entry-1', `request-${String(index)}`);
  }
  harness.effects.length = 0;
  return harness;
};

const countHandBacks = (harness: SideHarness): number =>
  harness.messages().filter(({ type }) => type === 'handBack').length;

test('a drain hands back a queue of many thousands in one event', () => {
  const harness = newFullQueue();
  harness.apply({ type: 'hostLeaving' });
  expect(countHandBacks(harness)).toBe(WAITING);
});

test('many thousands of reservations whose deadline passes at once are all handed back', () => {
  const harness = newFullQueue();
  harness.pass(120_000);
  expect(countHandBacks(harness)).toBeGreaterThanOrEqual(WAITING - 1);
});
