import type { Reducer } from './reducer.js';
import type { EventLoop } from './eventLoop.js';

/** Creates the loop around a reducer. An effect that fails becomes an event where it has one. */
export const createEventLoop = <State, Event, Body, Effect>({
  initialState,
  reduce,
  stampEvent,
  runEffect,
  toFailureEvent,
}: {
  readonly initialState: State;
  readonly reduce: Reducer<State, Event, Effect>;
  /** Puts the time on an event just before it is reduced. */
  readonly stampEvent: (body: Body) => Event;
  readonly runEffect: (effect: Effect) => void;
  readonly toFailureEvent: (effect: Effect, error: unknown) => Body | undefined;
}): EventLoop<State, Body> => {
  const queue: Body[] = [];
  let state = initialState;
  let isRunning = false;

  const runSafely = (effect: Effect): void => {
    try {
      runEffect(effect);
    } catch (error) {
      const failure = toFailureEvent(effect, error);
      if (failure !== undefined) {
        queue.push(failure);
      }
    }
  };

  const reduceNext = (body: Body): void => {
    const reduction = reduce(state, stampEvent(body));
    state = reduction.state;
    reduction.effects.forEach(runSafely);
  };

  const drain = (): void => {
    for (let body = queue.shift(); body !== undefined; body = queue.shift()) {
      reduceNext(body);
    }
  };

  return {
    dispatch: (body) => {
      queue.push(body);
      if (isRunning) {
        return;
      }
      isRunning = true;
      try {
        drain();
      } finally {
        isRunning = false;
      }
    },
    getState: () => state,
  };
};
