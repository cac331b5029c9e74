import { expect, test } from 'vitest';
import { createEventLoop } from './createEventLoop.js';

type Body = 'start' | 'nested' | 'failed';

test('effects run in order, nested events are reduced after the current one, and a failing effect becomes an event', () => {
  const runEffects: string[] = [];
  const loop = createEventLoop<readonly Body[], Body, Body, string>({
    initialState: [],
    reduce: (state, event) => ({
      state: [...state, event],
      effects: event === 'start' ? ['dispatch', 'throw', 'last'] : [],
    }),
    stampEvent: (body) => body,
    runEffect: (effect) => {
      runEffects.push(effect);
      if (effect === 'dispatch') {
        loop.dispatch('nested');
      }
      if (effect === 'throw') {
        throw new Error('no');
      }
    },
    toFailureEvent: (effect) => (effect === 'throw' ? 'failed' : undefined),
  });
  loop.dispatch('start');
  expect(runEffects).toEqual(['dispatch', 'throw', 'last']);
  expect(loop.getState()).toEqual(['start', 'nested', 'failed']);
});

test('an event that the reducer fails on changes nothing, and the next one is reduced', () => {
  const failures: string[] = [];
  const loop = createEventLoop<readonly string[], string, string, never>({
    initialState: [],
    reduce: (state, event) => {
      if (event === 'malformed') {
        throw new Error('no');
      }
      return { state: [...state, event], effects: [] };
    },
    stampEvent: (body) => body,
    runEffect: () => undefined,
    toFailureEvent: () => undefined,
    handleReducerError: (body, error) => failures.push(`${body}: ${String(error)}`),
  });
  ['first', 'malformed', 'second'].forEach(loop.dispatch);
  expect(loop.getState()).toEqual(['first', 'second']);
  expect(failures).toEqual(['malformed: Error: no']);
});
