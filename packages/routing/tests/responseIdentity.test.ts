import { describe, expect, it } from 'vitest';
import type { RequestMatch, ResponseHead, RouteKind } from '../src/index.js';
import { GOOD_HEAD } from './support/goodHead.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { NOT_RUN_HEAD } from './support/notRunHead.js';
import { RoutingHarness } from './support/routingHarness.js';

interface Identity {
  readonly requestMatch: RequestMatch;
  readonly isConnectionNew: boolean;
}

const BELIEVED: readonly Identity[] = [
  { requestMatch: 'own', isConnectionNew: true },
  { requestMatch: 'own', isConnectionNew: false },
  { requestMatch: 'none', isConnectionNew: true },
];
const NOT_BELIEVED: readonly Identity[] = [
  { requestMatch: 'none', isConnectionNew: false },
  { requestMatch: 'another', isConnectionNew: true },
  { requestMatch: 'another', isConnectionNew: false },
];
const NOT_OWN = [...BELIEVED, ...NOT_BELIEVED].filter(({ requestMatch }) => requestMatch !== 'own');
const NOT_RUN_STATUSES = [400, 421, 429, 503];
const ONCE_ONLY: readonly RouteKind[] = ['nonIdempotent', 'stream'];
const REPEATABLE: readonly RouteKind[] = ['idempotent', 'resumableStream'];

const combine = <First, Second>(
  first: readonly First[],
  second: readonly Second[],
): readonly { readonly first: First; readonly second: Second }[] =>
  first.flatMap((one) => second.map((other) => ({ first: one, second: other })));

const startReady = (kind: RouteKind, targets = newTargets(4)): RoutingHarness =>
  RoutingHarness.createReady(
    newConfiguration({ routes: [newRoute({ kind, maxAttempts: 2 })] }),
    targets,
  );

const receive = (entry: RoutingHarness, head: ResponseHead): number => {
  const requestId = entry.arrive();
  entry.receiveHead(requestId, head);
  return requestId;
};

const isConnectionCancelled = (entry: RoutingHarness, requestId: number): boolean => {
  const sendId = entry.getSends(requestId)[0]?.sendId;
  return entry.effects.some((effect) => effect.type === 'cancelSend' && effect.sendId === sendId);
};

// Guards against a second run of a request, or a 503 for one that has run, after a target's late response to the
// request before, which said that that one was not run.
describe('a response that says that the request was not run', () => {
  it.each(combine(combine(BELIEVED, NOT_RUN_STATUSES), [...ONCE_ONLY, ...REPEATABLE]))(
    'is believed: $second, status $first.second, names $first.first.requestMatch, new connection: $first.first.isConnectionNew',
    ({ first: { first: identity, second: status }, second: kind }) => {
      const entry = startReady(kind);
      const head = { ...NOT_RUN_HEAD, ...identity, status };
      const requestId = receive(entry, head);
      expect(entry.getSends(requestId)).toHaveLength(2);
      entry.receiveHead(requestId, head);
      expect(entry.getRefusal(requestId)).toMatchObject({
        status: 503,
        reason: 'refusedByTargets',
      });
      expect(isConnectionCancelled(entry, requestId)).toBe(true);
    },
  );

  it.each(combine(combine(NOT_BELIEVED, NOT_RUN_STATUSES), ONCE_ONLY))(
    'is not believed, and the request may have run: $second, status $first.second, names $first.first.requestMatch, new connection: $first.first.isConnectionNew',
    ({ first: { first: identity, second: status }, second: kind }) => {
      const entry = startReady(kind);
      const requestId = receive(entry, { ...NOT_RUN_HEAD, ...identity, status });
      expect(entry.getSends(requestId)).toHaveLength(1);
      expect(entry.getRefusal(requestId)).toEqual({ status: 502, reason: 'outcomeUnknown' });
      expect(isConnectionCancelled(entry, requestId)).toBe(true);
    },
  );

  it.each(combine(combine(NOT_BELIEVED, NOT_RUN_STATUSES), REPEATABLE))(
    'is not believed, and another target gets a request that may run again: $second, status $first.second, names $first.first.requestMatch, new connection: $first.first.isConnectionNew',
    ({ first: { first: identity, second: status }, second: kind }) => {
      const entry = startReady(kind);
      const requestId = receive(entry, { ...NOT_RUN_HEAD, ...identity, status });
      const targets = entry.getSends(requestId).map(({ targetId }) => targetId);
      expect(new Set(targets).size).toBe(2);
      expect(isConnectionCancelled(entry, requestId)).toBe(true);
      entry.receiveHead(requestId, NOT_RUN_HEAD);
      expect(entry.getRefusal(requestId)).toEqual({ status: 502, reason: 'outcomeUnknown' });
    },
  );
});

// Guards against relaying the response to another request.
describe('a response that does not name the request', () => {
  it.each(combine(NOT_OWN, [200, 404, 500]))(
    'is not relayed and ends its connection: status $second, names $first.requestMatch, new connection: $first.isConnectionNew',
    ({ first: identity, second: status }) => {
      const entry = startReady('nonIdempotent');
      const requestId = receive(entry, { ...GOOD_HEAD, ...identity, status });
      expect(entry.getRefusal(requestId)).toEqual({ status: 502, reason: 'outcomeUnknown' });
      expect(isConnectionCancelled(entry, requestId)).toBe(true);
    },
  );
});

// Guards against lines that don't tell a stray response from other bytes.
describe('the line of a failed send', () => {
  it.each([
    ['another', 'namesAnother'],
    ['none', 'namesNone'],
  ] as const)('tells that the response names %s', (requestMatch, responseFault) => {
    const entry = startReady('nonIdempotent');
    receive(entry, { ...NOT_RUN_HEAD, requestMatch });
    expect(entry.effects).toContainEqual(
      expect.objectContaining({
        name: 'sendFailed',
        fields: expect.objectContaining({ failure: 'malformed', responseFault }) as unknown,
      }),
    );
  });
});

// Guards against sending to no target, or to one that refuses, by what a stray response says.
describe('what a target says of itself', () => {
  const statements = [
    { isLeaving: true },
    { refusesForMs: 2_000, status: 503, isSigned: false, isNotRun: true },
    { limitPerSecond: 0.2 },
  ];

  const isUsedAfter = (head: ResponseHead): boolean => {
    const entry = startReady('idempotent', newTargets(1, { slots: 10 }));
    receive(entry, head);
    // Longer than a failed target rests, and shorter than what it says.
    entry.advance(1_500);
    return entry.getSends(entry.arrive()).length > 0;
  };

  it.each(combine(statements, BELIEVED))(
    'counts: $first, names $second.requestMatch, new connection: $second.isConnectionNew',
    ({ first: statement, second: identity }) => {
      expect(isUsedAfter({ ...GOOD_HEAD, ...identity, ...statement })).toBe(false);
    },
  );

  it.each(combine(statements, NOT_BELIEVED))(
    'does not count: $first, names $second.requestMatch, new connection: $second.isConnectionNew',
    ({ first: statement, second: identity }) => {
      expect(isUsedAfter({ ...GOOD_HEAD, ...identity, ...statement })).toBe(true);
    },
  );

  it.each(NOT_OWN)(
    'does not end a limit by leaving it out: names $requestMatch, new connection: $isConnectionNew',
    (identity) => {
      const entry = startReady('idempotent', newTargets(1, { slots: 10 }));
      const limited = entry.arrive();
      const stray = entry.arrive();
      entry.receiveHead(limited, { ...GOOD_HEAD, limitPerSecond: 0.2 });
      entry.receiveHead(stray, { ...GOOD_HEAD, ...identity });
      entry.advance(1_500);
      expect(entry.getSends(entry.arrive())).toHaveLength(0);
    },
  );
});
