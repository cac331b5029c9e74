import { describe, expect, it } from 'vitest';
import type { Arrival, Route } from '../src/index.js';
import { newConfiguration } from './support/newConfiguration.js';
import { newRoute } from './support/newRoute.js';
import { newTargets } from './support/newTargets.js';
import { RoutingHarness } from './support/routingHarness.js';

const DEADLINE_MS = 3_000;
/** Read this long after the earliest moment at which it may have arrived. */
const UNREAD_MS = 2_000;
/** By the best estimate, the deadline passes this long after the reading; at the latest, it passes `DEADLINE_MS` after. */
const ESTIMATED_LEFT_MS = DEADLINE_MS - UNREAD_MS / 2;

const READ_LATE: Partial<Arrival> = {
  elapsedMs: UNREAD_MS / 2,
  minElapsedMs: 0,
  unreadMs: UNREAD_MS,
  deadlineMs: DEADLINE_MS,
};

const KINDS = ['nonIdempotent', 'idempotent', 'stream', 'resumableStream'] as const;
const STREAM_KINDS = ['stream', 'resumableStream'] as const;

const createReadyFor = (changes: Partial<Route>, targets = newTargets(3)): RoutingHarness =>
  RoutingHarness.createReady(newConfiguration({ routes: [newRoute(changes)] }), targets);

const progress = (entry: RoutingHarness, requestId: number): void => {
  const { sendId } = entry.getLastSend(requestId);
  entry.dispatch({ type: 'responseProgressed', requestId, sendId });
};

const startResponse = (entry: RoutingHarness, requestId: number): void => {
  entry.receiveHead(requestId);
  progress(entry, requestId);
};

const isCancelled = ({ effects }: RoutingHarness): boolean =>
  effects.some(({ type }) => type === 'cancelSend');

/** Advances in steps with an event of the response in each, so that its target never counts as stalled. */
const streamFor = (entry: RoutingHarness, requestId: number, ms: number): void => {
  for (let passedMs = 0; passedMs < ms; passedMs += 100) {
    progress(entry, requestId);
    entry.advance(100);
  }
};

describe('a request that was read late and is under way', () => {
  // Guards against streams that are broken off before their deadline because the entry, which had just started, took
  // the middle of the time in which they may have arrived for the moment of their arrival.
  it.each(STREAM_KINDS)('streams (%s) until its deadline has certainly passed', (kind) => {
    const entry = createReadyFor({ kind });
    const requestId = entry.arrive(READ_LATE);
    startResponse(entry, requestId);
    streamFor(entry, requestId, DEADLINE_MS - 100);
    expect(entry.isConnectionClosed(requestId)).toBe(false);
    expect(isCancelled(entry)).toBe(false);
    streamFor(entry, requestId, 100);
    expect(entry.isConnectionClosed(requestId)).toBe(true);
    expect(isCancelled(entry)).toBe(true);
  });

  // Guards against the same at the time limit of the route.
  it('streams until the time limit of its route has certainly passed', () => {
    const entry = createReadyFor({ kind: 'stream', timeoutMs: DEADLINE_MS });
    const requestId = entry.arrive({ ...READ_LATE, deadlineMs: 2 * DEADLINE_MS });
    startResponse(entry, requestId);
    streamFor(entry, requestId, DEADLINE_MS - 100);
    expect(entry.isConnectionClosed(requestId)).toBe(false);
    streamFor(entry, requestId, 100);
    expect(entry.isConnectionClosed(requestId)).toBe(true);
  });

  // Guards against the same before the first byte of the response.
  it.each(KINDS)('stays at its target (%s) until its deadline has certainly passed', (kind) => {
    const entry = createReadyFor({ kind, objectiveMs: DEADLINE_MS, longestSilenceMs: 10_000 });
    const requestId = entry.arrive(READ_LATE);
    entry.advance(DEADLINE_MS - 50);
    expect(entry.getRefusal(requestId)).toBeUndefined();
    expect(isCancelled(entry)).toBe(false);
    entry.advance(50);
    expect(entry.getRefusal(requestId)).toEqual({ status: 504, reason: 'timedOut' });
  });

  // Guards against cancelling a send to a silent target when it is too late for another one.
  it('stays at a silent target once it may be sent to no other one', () => {
    const entry = createReadyFor({ objectiveMs: 550, maxAttempts: 4 });
    const requestId = entry.arrive(READ_LATE);
    entry.advance(ESTIMATED_LEFT_MS);
    expect(entry.getSends(requestId)).toHaveLength(2);
    entry.effects = [];
    entry.advance(DEADLINE_MS - ESTIMATED_LEFT_MS - 50);
    expect(isCancelled(entry)).toBe(false);
    expect(entry.getRefusal(requestId)).toBeUndefined();
    entry.advance(50);
    expect(entry.getRefusal(requestId)).toEqual({ status: 504, reason: 'timedOut' });
  });
});

describe('a request that was read late and is at no target', () => {
  it('is refused as not run at its estimated deadline', () => {
    const entry = createReadyFor({ kind: 'nonIdempotent' }, newTargets(1, { slots: 1 }));
    entry.arrive();
    const requestId = entry.arrive(READ_LATE);
    entry.advance(ESTIMATED_LEFT_MS);
    expect(entry.getSends(requestId)).toHaveLength(0);
    expect(entry.getRefusal(requestId)?.status).toBe(503);
  });

  it('is refused at once if its estimated deadline has passed', () => {
    const entry = createReadyFor({ kind: 'nonIdempotent' });
    const requestId = entry.arrive({ ...READ_LATE, deadlineMs: UNREAD_MS / 2 });
    expect(entry.getSends(requestId)).toHaveLength(0);
    expect(entry.getRefusal(requestId)).toMatchObject({ status: 503, reason: 'deadlinePassed' });
  });

  it('is not sent after its estimated deadline, even before the tick that refuses it', () => {
    const entry = createReadyFor({ kind: 'nonIdempotent' }, newTargets(1, { slots: 1 }));
    const first = entry.arrive();
    const second = entry.arrive(READ_LATE);
    entry.nowMs += ESTIMATED_LEFT_MS;
    entry.endResponse(first);
    expect(entry.getSends(second)).toHaveLength(0);
  });

  it('is sent before requests that arrived after it by the best estimate', () => {
    const entry = createReadyFor(
      { kind: 'nonIdempotent', objectiveMs: DEADLINE_MS },
      newTargets(1, { slots: 1 }),
    );
    const first = entry.arrive();
    const later = entry.arrive();
    const readLate = entry.arrive({ ...READ_LATE, deadlineMs: 2 * DEADLINE_MS });
    entry.endResponse(first);
    expect(entry.getSends(readLate)).toHaveLength(1);
    expect(entry.getSends(later)).toHaveLength(0);
  });
});
