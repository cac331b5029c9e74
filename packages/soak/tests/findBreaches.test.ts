import { describe, expect, it } from 'vitest';
import { findBreaches } from '../src/index.js';
import type { History } from '../src/index.js';

type Request = History['requests'][number];

const UNANSWERED: Request = {
  id: 'r1',
  kind: 'nonIdempotent',
  entry: 0,
  sentMs: 0,
  body: '',
  isWhole: false,
  endedMs: 300,
};

const newRequest = (changes: Partial<Request> = {}): Request => ({
  ...UNANSWERED,
  status: 200,
  body: 'r1;'.repeat(40),
  isWhole: true,
  ...changes,
});

const newHistory = (changes: Partial<History> = {}): History => ({
  requests: [newRequest()],
  runs: [{ id: 'r1', target: 't', earliestMs: 10, isFaulty: false, isPathHarmed: false }],
  disturbances: [],
  calmFromMs: Infinity,
  ...changes,
});

const findPromises = (changes: Partial<History>): readonly string[] =>
  findBreaches(newHistory(changes)).map(({ promise }) => promise);

const newRun = (earliestMs: number): History['runs'][number] => ({
  id: 'r1',
  target: 't',
  earliestMs,
  isFaulty: false,
  isPathHarmed: false,
});

describe('the checks of a soak', () => {
  it('find nothing in a request that was served once', () => {
    expect(findPromises({})).toEqual([]);
  });

  it('find what ran twice, but not where it may', () => {
    const runs = [newRun(10), newRun(20)];
    expect(findPromises({ runs })).toEqual(['ranTwice']);
    expect(findPromises({ runs, requests: [newRequest({ kind: 'idempotent' })] })).toEqual([]);
  });

  it('find what ran though it was said not to have', () => {
    const requests = [newRequest({ status: 503, body: '' })];
    expect(findPromises({ requests })).toEqual(['ranThoughRefused']);
    expect(findPromises({ requests, runs: [] })).toEqual([]);
  });

  it('find answers that are not the request’s, and cut ones that look whole', () => {
    const getPromises = (changes: Partial<Request>): readonly string[] =>
      findPromises({ requests: [newRequest(changes)] });
    expect(getPromises({ body: 'r2;'.repeat(40) })).toEqual(['foreignAnswer']);
    expect(getPromises({ body: 'r1;' })).toEqual(['foreignAnswer']);
    expect(getPromises({ body: 'r1;', isWhole: false })).toEqual([]);
  });

  it('find what reached a target half a second after its caller had left', () => {
    const requests = [newRequest({ leftMs: 100, isWhole: false, body: '' })];
    expect(findPromises({ requests, runs: [newRun(601)] })).toEqual(['ranForNobody']);
    expect(findPromises({ requests, runs: [newRun(600)] })).toEqual([]);
  });

  it('lay nothing of that to an entry whose path to the target was harmed', () => {
    const requests = [newRequest({ leftMs: 100, isWhole: false, body: '' })];
    const runs = [{ ...newRun(601), isPathHarmed: true }];
    expect(findPromises({ requests, runs })).toEqual([]);
  });

  it('lay nothing of that to an entry that was paused', () => {
    const requests = [newRequest({ leftMs: 100, isWhole: false, body: '' })];
    const disturbances = [{ entry: 0, kind: 'paused' as const, fromMs: 50, untilMs: 500 }];
    expect(findPromises({ requests, runs: [newRun(601)], disturbances })).toEqual([]);
  });

  it('find what a planned stop cut, but not what its target cut', () => {
    const disturbances = [{ entry: 0, kind: 'stopped' as const, fromMs: 50, untilMs: 500 }];
    const runs = [newRun(10)];
    expect(findPromises({ requests: [UNANSWERED], disturbances, runs })).toEqual(['cutByStop']);
    const faulty = runs.map((run) => ({ ...run, isFaulty: true }));
    expect(findPromises({ requests: [UNANSWERED], disturbances, runs: faulty })).toEqual([]);
  });

  it('find an end at which hardly anybody is served', () => {
    const requests = [{ ...UNANSWERED, sentMs: 50 }];
    expect(findPromises({ requests, calmFromMs: 40 })).toEqual(['notServedAfter']);
  });
});
