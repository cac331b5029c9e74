import { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { createMemoryBudget } from '../../src/memory/createMemoryBudget.js';

const createTestBudget = (limitBytes: number) => {
  let nowMs = 0;
  const closed: string[] = [];
  const budget = createMemoryBudget({ getLimitBytes: () => limitBytes, getNowMs: () => nowMs });
  return {
    budget,
    closed,
    open: (name: string) => budget.open(new Socket(), () => closed.push(name)),
    pass: (ms: number) => {
      nowMs += ms;
    },
  };
};

// Guards against bytes that stay counted after their connection has ended.
test('a connection that ends or gives way releases what it held', () => {
  const { budget, closed, open, pass } = createTestBudget(1_000);
  const stalled = open('stalled');
  stalled.hold('body', 600);
  pass(1_000);
  const ordinary = open('ordinary');
  ordinary.hold('body', 500);
  expect(closed).toEqual(['stalled']);
  expect(stalled.isOpen()).toBe(false);
  stalled.hold('body', 800);
  expect(budget.countHeldBytes()).toBe(500);
  ordinary.close();
  ordinary.close();
  expect(budget.countHeldBytes()).toBe(0);
});

// Guards against a limit that is met by summing what one connection held earlier.
test('a new figure of a kind replaces the earlier one', () => {
  const { budget, closed, open } = createTestBudget(1_000);
  const account = open('ordinary');
  account.hold('body', 900);
  account.hold('body', 0);
  account.hold('request', 900);
  expect([budget.countHeldBytes(), closed]).toEqual([900, []]);
});

// Guards against an age that includes the time in which a connection held nothing.
test('the age of what is held begins with the first byte', () => {
  const { closed, open, pass } = createTestBudget(1_000);
  const idle = open('idle');
  pass(60_000);
  const stalled = open('stalled');
  stalled.hold('body', 450);
  pass(1_000);
  idle.hold('body', 600);
  expect(closed).toEqual(['stalled']);
});

// Guards against a long-running request that gives way for its response that has just arrived.
test('the age of what waits for a caller does not include the time its request ran', () => {
  const { closed, open, pass } = createTestBudget(1_000);
  const ordinary = open('ordinary');
  ordinary.hold('request', 10);
  pass(60_000);
  const stalled = open('stalled');
  stalled.hold('body', 400);
  pass(10_000);
  ordinary.hold('unreadResponse', 600);
  expect(closed).toEqual(['stalled']);
});

// Guards against a body that arrives steadily and gives way before one that has stopped.
test('a part of a body that arrives makes it young again', () => {
  const { closed, open, pass } = createTestBudget(1_000);
  const steady = open('steady');
  steady.hold('body', 300);
  pass(1_000);
  const stalled = open('stalled');
  stalled.hold('body', 400);
  pass(1_000);
  steady.hold('body', 500);
  pass(10);
  open('small').hold('body', 101);
  expect(closed).toEqual(['stalled']);
});

// Guards against requests that are passed on although nothing is left for their responses.
test('a request is admitted while it takes at most half of the room for requests', () => {
  const { open } = createTestBudget(1_000);
  const admit = (bytes: number) => {
    const account = open('ordinary');
    account.hold('body', bytes);
    return account.admit(bytes);
  };
  expect([admit(400), admit(300), admit(200), admit(200), admit(50)]).toEqual([
    true,
    false,
    true,
    false,
    true,
  ]);
});

// Guards against a request of the full size that is never admitted.
test('a single request is admitted up to the limit', () => {
  const { open } = createTestBudget(1_000);
  expect(open('first').admit(1_000)).toBe(true);
  expect(open('second').admit(1)).toBe(false);
});

// Guards against ordinary callers that are refused because of those who only hold memory.
test('a request is admitted beside running ones whose callers hold much else', () => {
  const { open, closed, pass } = createTestBudget(1_000);
  const holding = open('holding');
  holding.admit(100);
  holding.hold('requestsAhead', 400);
  holding.hold('unparsed', 490);
  pass(2_000);
  expect(open('ordinary').admit(100)).toBe(true);
  expect(closed).toEqual(['holding']);
});

// Guards against ordinary callers that are refused because others do not read their responses.
test('a request is admitted beside unread responses, which give way', () => {
  const { open, closed, pass } = createTestBudget(1_000);
  Array.from({ length: 8 }, (_, index) => {
    const account = open(`unread ${index}`);
    account.admit(10);
    account.hold('unreadResponse', 110);
    return account;
  });
  pass(2_000);
  expect(open('ordinary').admit(100)).toBe(true);
  expect(closed.length).toBeGreaterThan(0);
  expect(closed.filter((name) => !name.startsWith('unread'))).toEqual([]);
});

// Guards against a request that is refused for good after others have ended.
test('a request that has ended makes room for another one', () => {
  const { open } = createTestBudget(1_000);
  const [first, second] = [open('first'), open('second')];
  first.admit(800);
  expect(second.admit(400)).toBe(false);
  first.setServing(false);
  first.hold('request', 0);
  expect(second.admit(400)).toBe(true);
  second.close();
  expect(first.admit(400)).toBe(true);
});

// Guards against running requests that are broken off for their own responses.
test('while the budget is short, few responses grow and the others wait for memory', async () => {
  const { open, closed } = createTestBudget(1_000);
  const accounts = Array.from({ length: 8 }, (_, index) => open(`request ${index}`));
  accounts.forEach((account) => {
    account.admit(50);
    account.hold('bufferedResponse', 60);
  });
  const resumed: number[] = [];
  const growing = accounts.map((account, index) => account.mayGrow(() => resumed.push(index)));
  expect(growing.filter((isGrowing) => isGrowing)).toHaveLength(4);
  await nextTurn();
  expect(resumed).toEqual([]);
  accounts[0]?.close();
  await nextTurn();
  expect(resumed).toEqual([4, 5, 6, 7]);
  expect(closed).toEqual([]);
});

// Guards against responses that are all written at once while memory is short, faster than their callers read them.
test('a response lets the next one grow once it is written out', async () => {
  const { open } = createTestBudget(1_000);
  const accounts = Array.from({ length: 6 }, (_, index) => open(`request ${index}`));
  accounts.forEach((account) => {
    account.admit(50);
    account.hold('bufferedResponse', 50);
  });
  const large = open('large');
  large.hold('request', 350);
  large.setServing(true);
  const resumed: number[] = [];
  accounts.forEach((account, index) => account.mayGrow(() => resumed.push(index)));
  accounts[0]?.hold('bufferedResponse', 0);
  accounts[0]?.hold('unreadResponse', 50);
  await nextTurn();
  expect(resumed).toEqual([]);
  accounts[0]?.setServing(false);
  large.hold('request', 400);
  await nextTurn();
  expect(resumed).toEqual([4]);
});

// Guards against a response that nobody goes on reading once the send before it has failed.
test('a response that is no longer buffered lets the next one grow', async () => {
  const { open } = createTestBudget(1_000);
  const accounts = Array.from({ length: 6 }, (_, index) => open(`request ${index}`));
  accounts.forEach((account) => {
    account.admit(50);
    account.hold('bufferedResponse', 100);
  });
  const resumed: number[] = [];
  accounts.forEach((account, index) => account.mayGrow(() => resumed.push(index)));
  accounts[0]?.hold('bufferedResponse', 80);
  accounts[0]?.endGrowth();
  await nextTurn();
  expect(resumed).toEqual([4]);
});
