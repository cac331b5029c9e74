import { describe, expect, it } from 'vitest';
import type { RoutedTeam, RouteKind } from '../src/index.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { NOT_RUN_HEAD } from './support/notRunHead.js';
import { RoutingHarness } from './support/routingHarness.js';

const RED = { name: 'red', keys: ['red-key'] };
const OTHERS: readonly RoutedTeam[] = [{ name: 'blue', keys: ['blue-key'] }];
const MOVED: readonly RoutedTeam[] = [{ name: 'blue', keys: ['blue-key', 'red-key'] }];
const MORE_KEYS: readonly RoutedTeam[] = [
  { name: 'red', keys: ['new-key', 'red-key'], priority: 0 },
];
const CHANGES = [
  { change: 'is withdrawn', teams: OTHERS },
  { change: 'moves to another team', teams: MOVED },
];

const newDocument = (
  version: number,
  teams: readonly RoutedTeam[],
  kind: RouteKind = 'idempotent',
  isAnonymousAllowed = false,
) =>
  newConfiguration({
    version,
    teams,
    routes: [newRoute({ kind, isAnonymousAllowed, maxAttempts: 3 })],
  });

/** An entry with one target, whose only slot is taken by a request of the other team. */
const startBusy = (isAnonymousAllowed = false) => {
  const document = newDocument(1, [RED, ...OTHERS], 'idempotent', isAnonymousAllowed);
  const entry = RoutingHarness.createReady(document, newTargets(1, { slots: 1 }));
  const runningId = entry.arrive({ key: 'blue-key' });
  const freeSlot = (): void => {
    entry.receiveHead(runningId);
    entry.endResponse(runningId);
  };
  return { entry, freeSlot };
};

const startRunning = (kind: RouteKind) => {
  const entry = RoutingHarness.createReady(newDocument(1, [RED, ...OTHERS], kind), newTargets(3));
  return { entry, requestId: entry.arrive() };
};

const configure = (entry: RoutingHarness, configuration: ReturnType<typeof newDocument>): void => {
  entry.dispatch({ type: 'configurationRead', configuration });
};

// Guards against a target that is told of a team which no longer holds the key when the request reaches it.
describe.each(CHANGES)('a request whose key $change', ({ teams }) => {
  it.each([true, false])('is refused while it waits (route open to all: %s)', (isOpen) => {
    const { entry, freeSlot } = startBusy(isOpen);
    const requestId = entry.arrive();
    expect(entry.getSends(requestId)).toHaveLength(0);
    configure(entry, newDocument(2, teams, 'idempotent', isOpen));
    freeSlot();
    expect(entry.getSends(requestId)).toHaveLength(0);
    expect(entry.getRefusal(requestId)).toMatchObject({ status: 503, reason: 'keyChanged' });
    expect(entry.getRefusal(requestId)?.retryAfterMs).toBeGreaterThan(0);
  });

  it('ends at the target that has it', () => {
    const { entry, requestId } = startRunning('nonIdempotent');
    configure(entry, newDocument(2, teams, 'nonIdempotent'));
    expect(entry.getRefusal(requestId)).toBeUndefined();
    entry.receiveHead(requestId);
    entry.endResponse(requestId);
    expect(entry.effects.some(({ type }) => type === 'cancelSend')).toBe(false);
  });

  it('is not sent again after a target that has not run it', () => {
    const { entry, requestId } = startRunning('nonIdempotent');
    configure(entry, newDocument(2, teams, 'nonIdempotent'));
    entry.receiveHead(requestId, NOT_RUN_HEAD);
    expect(entry.getSends(requestId)).toHaveLength(1);
    expect(entry.getRefusal(requestId)).toMatchObject({ status: 503, reason: 'keyChanged' });
  });

  it('is not sent again after a connection that could not be made', () => {
    const { entry, requestId } = startRunning('nonIdempotent');
    configure(entry, newDocument(2, teams, 'nonIdempotent'));
    entry.failSend(requestId, 'neverSent');
    expect(entry.getSends(requestId)).toHaveLength(1);
    expect(entry.getRefusal(requestId)).toMatchObject({ status: 503, reason: 'keyChanged' });
  });

  it.each(['idempotent', 'resumableStream'] as const)(
    'is not sent again after a broken connection (%s)',
    (kind) => {
      const { entry, requestId } = startRunning(kind);
      configure(entry, newDocument(2, teams, kind));
      entry.failSend(requestId);
      expect(entry.getSends(requestId)).toHaveLength(1);
      expect(entry.getRefusal(requestId)).toEqual({ status: 502, reason: 'outcomeUnknown' });
    },
  );
});

describe('a request whose key stays with its team', () => {
  it('goes on waiting while other keys change', () => {
    const { entry, freeSlot } = startBusy();
    const requestId = entry.arrive();
    configure(entry, newDocument(2, MORE_KEYS));
    freeSlot();
    expect(entry.getLastSend(requestId).team).toBe('red');
  });

  it('is sent again after a broken connection', () => {
    const { entry, requestId } = startRunning('idempotent');
    configure(entry, newDocument(2, MORE_KEYS));
    entry.failSend(requestId);
    expect(entry.getSends(requestId)).toHaveLength(2);
  });
});

describe('a request without a key', () => {
  it('goes on waiting on a route open to all while keys change', () => {
    const { entry, freeSlot } = startBusy(true);
    const requestId = entry.arriveWithoutKey();
    configure(entry, newDocument(2, OTHERS, 'idempotent', true));
    freeSlot();
    expect(entry.getLastSend(requestId).team).toBeUndefined();
  });
});

// Guards against a request that reaches its target without the team that has been given its key meanwhile.
it('a request whose unknown key is given to a team while it waits is refused on a route open to all', () => {
  const { entry, freeSlot } = startBusy(true);
  const requestId = entry.arrive({ key: 'new-key' });
  configure(entry, newDocument(2, [...MORE_KEYS, ...OTHERS], 'idempotent', true));
  freeSlot();
  expect(entry.getSends(requestId)).toHaveLength(0);
  expect(entry.getRefusal(requestId)).toMatchObject({ status: 503, reason: 'keyChanged' });
});
