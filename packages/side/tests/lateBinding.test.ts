import { expect, test } from 'vitest';
import type { GrantId } from '@parsleyhall/common';
import { SideHarness } from './sideHarness.js';

const getGrant = (side: SideHarness, id: string): GrantId => {
  const grantId = side.grantsOf(id).at(-1);
  if (grantId === undefined) {
    throw new TypeError(`no grant for ${id}`);
  }
  return grantId;
};

const run = (side: SideHarness, id: string): GrantId => {
  const grantId = getGrant(side, id);
  side.give('entry-1', id, grantId);
  return grantId;
};

test('a given request is called once and its whole answer is relayed', () => {
  const side = new SideHarness().start('entry-1');
  side.reserve('entry-1', 'a');
  const grantId = run(side, 'a');
  side.give('entry-1', 'a', grantId);
  side.apply({ type: 'targetHead', grantId, status: 200, headers: {} });
  side.apply({ type: 'targetBytes', grantId, bytes: new Uint8Array([1, 2]), tokens: 1 });
  side.apply({ type: 'targetEnd', grantId, prefillTokens: 100, decodeTokens: 1 });
  expect(side.calls()).toEqual(['a']);
  const types = side.messages().map(({ type }) => type);
  expect(types.slice(-6)).toEqual([
    'grant',
    'accepted',
    'accepted',
    'answerHead',
    'answerBytes',
    'answerEnd',
  ]);
});

test('a give by an expired, declined or foreign grant is refused and does not run', () => {
  const side = new SideHarness().start('entry-1', 'entry-2');
  side.reserve('entry-1', 'a');
  side.reserve('entry-1', 'b');
  const expired = getGrant(side, 'a');
  const declined = getGrant(side, 'b');
  side.say('entry-1', {
    type: 'gone',
    grantId: declined,
    requestId: side.newReservation('b', {}).requestId,
  });
  side.nowMs += side.settings.grantLeaseMs;
  expect(side.give('entry-1', 'a', expired).map(({ type }) => type)).toContain('refused');
  expect(side.give('entry-1', 'b', declined).map(({ type }) => type)).toContain('refused');
  const second = getGrant(side, 'a');
  expect(second).not.toBe(expired);
  expect(side.give('entry-2', 'a', second).map(({ type }) => type)).toContain('refused');
  expect(side.give('entry-1', 'c', second).map(({ type }) => type)).toContain('refused');
  expect(side.calls()).toEqual([]);
});

test('after a broken stream the answer goes on from the byte that the entry asks for', () => {
  const side = new SideHarness().start('entry-1');
  side.reserve('entry-1', 'a');
  const grantId = run(side, 'a');
  const { requestId } = side.newReservation('a', {});
  side.apply({ type: 'targetHead', grantId, status: 200, headers: {} });
  side.apply({ type: 'targetBytes', grantId, bytes: new Uint8Array([1, 2, 3]), tokens: 1 });
  side.apply({ type: 'entryDisconnected', entry: 'entry-1' });
  side.apply({ type: 'targetBytes', grantId, bytes: new Uint8Array([4]), tokens: 1 });
  side.apply({ type: 'entryConnected', entry: 'entry-1' });
  const answers = side.say('entry-1', { type: 'askFate', grantId, requestId, fromByte: 2 });
  expect(answers).toMatchObject([
    { type: 'fate', fate: 'running' },
    { type: 'answerHead', status: 200 },
    { type: 'answerBytes', offset: 2, bytes: new Uint8Array([3]) },
    { type: 'answerBytes', offset: 3, bytes: new Uint8Array([4]) },
  ]);
});

test('a grant whose fate was told as never received can not be used later', () => {
  const side = new SideHarness().start('entry-1');
  side.reserve('entry-1', 'a');
  const grantId = getGrant(side, 'a');
  const { requestId } = side.newReservation('a', {});
  const [fate] = side.say('entry-1', { type: 'askFate', grantId, requestId, fromByte: 0 });
  expect(fate).toMatchObject({ type: 'fate', fate: 'neverReceived' });
  expect(side.give('entry-1', 'a', grantId)).toMatchObject([{ type: 'refused' }]);
  expect(side.calls()).toEqual([]);
});

test('a planned stop hands back what waits, finishes what runs and then says so', () => {
  const side = new SideHarness({ initialWindowRequests: 1 }).start('entry-1');
  side.reserve('entry-1', 'a');
  side.reserve('entry-1', 'b');
  const grantId = run(side, 'a');
  side.apply({ type: 'stopRequested' });
  expect(side.messages().at(-1)).toMatchObject({ type: 'handBack', reason: 'draining' });
  expect(side.reserve('entry-1', 'c')).toMatchObject([{ type: 'handBack', reason: 'draining' }]);
  side.apply({ type: 'targetEnd', grantId, prefillTokens: 1, decodeTokens: 1 });
  expect(side.effects).not.toContainEqual({ type: 'stopped' });
  const { requestId } = side.newReservation('a', {});
  side.say('entry-1', { type: 'acknowledgeEnd', grantId, requestId });
  expect(side.effects.at(-1)).toEqual({ type: 'stopped' });
});

test('a planned stop refuses what it has granted, since a give on its way finds no process', () => {
  const side = new SideHarness().start('entry-1');
  side.reserve('entry-1', 'a');
  const grantId = getGrant(side, 'a');
  const { requestId } = side.newReservation('a', {});
  side.apply({ type: 'stopRequested' });
  expect(side.messages()).toContainEqual({ type: 'refused', grantId, requestId });
  expect(side.effects.at(-1)).toEqual({ type: 'stopped' });
});

test('tens of thousands of waiting reservations are handed back in one event', () => {
  const waiting = 20_000;
  const side = new SideHarness({ initialWindowRequests: 1, maximumWaiting: waiting });
  side.start('entry-1');
  for (let index = 0; index <= waiting; index += 1) {
    side.reserve('entry-1', `r${index}`, { deadlineLeftMs: 1_000_000 });
  }
  const handBacks = side.apply({ type: 'stopRequested' }).flatMap((effect) => {
    const message = effect.type === 'sendToEntry' ? effect.message : undefined;
    return message?.type === 'handBack' ? [message.requestId] : [];
  });
  expect(new Set(handBacks).size).toBe(waiting + 1);
  expect(side.effects.at(-1)).toEqual({ type: 'stopped' });
});

test('of a full queue the lowest tier gives way and stays closed until the load has fallen', () => {
  const side = new SideHarness({ initialWindowRequests: 1, maximumWaiting: 2 }).start('entry-1');
  side.reserve('entry-1', 'running', { tier: 1 });
  run(side, 'running');
  side.reserve('entry-1', 'low', { tier: 4 });
  side.reserve('entry-1', 'middle', { tier: 3 });
  const full = side.reserve('entry-1', 'high', { tier: 1 });
  expect(full).toMatchObject([{ type: 'handBack', requestId: 'low', reason: 'queueFull' }]);
  side.reserve('entry-1', 'higher', { tier: 1 });
  const closed = side.reserve('entry-1', 'late', { tier: 4 });
  expect(closed).toMatchObject([{ type: 'handBack', requestId: 'late', reason: 'shed' }]);
  expect([...side.state.queue.byRequest.keys()].sort()).toEqual(['high', 'higher']);
});
