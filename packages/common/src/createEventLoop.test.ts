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
