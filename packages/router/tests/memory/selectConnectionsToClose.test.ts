import { expect, test } from 'vitest';
import { selectConnectionsToClose } from '../../src/memory/selectConnectionsToClose.js';

const createHeld = (callerBytes: number, servingBytes: number, ageMs: number) => ({
  isServing: servingBytes > 0,
  callerBytes,
  servingBytes,
  callerAgeMs: ageMs,
  servingAgeMs: ageMs,
});

// Guards against connections that are closed although there is room.
test('nothing is closed up to the limit', () => {
  expect(selectConnectionsToClose([createHeld(60, 40, 9_000)], 100, 80)).toEqual([]);
});

// Guards against ordinary callers that give way to those who hold much for long.
test('the connection that holds the most for the longest time gives way first', () => {
  const stalled = createHeld(50, 0, 10_000);
  const young = createHeld(50, 0, 10);
  const small = createHeld(5, 0, 10_000);
  expect(selectConnectionsToClose([young, small, stalled], 100, 80)).toEqual([stalled]);
});

// Guards against requests that are broken off while callers hold memory until they send or read more.
test('a request that is being served gives way after unfinished ones', () => {
  const served = createHeld(0, 90, 60_000);
  const unfinished = createHeld(20, 0, 10);
  expect(selectConnectionsToClose([served, unfinished], 100, 90)).toEqual([unfinished]);
});

// Guards against a budget that stays exceeded when only requests that are being served hold memory.
test('requests that are being served give way as far as the limit requires', () => {
  const first = createHeld(0, 60, 2_000);
  const second = createHeld(0, 60, 1_000);
  expect(selectConnectionsToClose([second, first], 100, 50)).toEqual([first]);
});

// Guards against callers that all give way for requests that are being served, although a few bytes are missing.
test('callers give way for the overflow and a share of their own bytes', () => {
  const served = createHeld(0, 990, 1_000);
  const callers = Array.from({ length: 10 }, (_, index) => createHeld(2, 0, 1_000 - index));
  expect(selectConnectionsToClose([served, ...callers], 1_000, 875)).toHaveLength(7);
});

// Guards against connections that are all sorted again for each small growth after the limit was met exactly.
test('requests that are being served leave a little room when they give way', () => {
  const requests = Array.from({ length: 101 }, (_, index) => createHeld(0, 10, 1_000 - index));
  expect(selectConnectionsToClose(requests, 1_000, 875).length).toBeGreaterThan(3);
});

// Guards against a sound caller whose request has run, and that gives way before one that only holds memory.
test('a response that has just been written gives way after all that is held for callers', () => {
  const served = createHeld(400, 100, 10);
  const holding = [createHeld(30, 0, 20), createHeld(30, 0, 10)];
  expect(selectConnectionsToClose([served, ...holding], 550, 400)).toEqual(holding);
});

// Guards against callers that hold memory by not reading.
test('a response that has been unread for a while gives way before a young one', () => {
  const young = createHeld(700, 100, 10);
  const unread = createHeld(300, 100, 2_000);
  expect(selectConnectionsToClose([young, unread], 1_000, 875)).toEqual([unread]);
});

// Guards against a budget that stays exceeded when only young responses hold memory.
test('a young response gives way where nothing else suffices', () => {
  const young = createHeld(900, 100, 10);
  const small = createHeld(100, 100, 10);
  expect(selectConnectionsToClose([small, young], 1_000, 875)).toEqual([young]);
});
