import type { Reducer } from './reducer.js';
import type { EventLoop } from './eventLoop.js';

/** Creates an event loop around a reducer. A failing effect is turned into an event if `toFailureEvent` returns one. */
export const createEventLoop = <State, Event, EventBody, Effect>({
  initialState,
  reduce,
  stampEvent,
  runEffect,
  toFailureEvent,
}: {
  readonly initialState: State;
  readonly reduce: Reducer<State, Event, Effect>;
  /** Adds the time to an event just before it is reduced. */
  readonly stampEvent: (body: EventBody) => Event;
  readonly runEffect: (effect: Effect) => void;
  readonly toFailureEvent: (effect: Effect, error: unknown) => EventBody | undefined;
}): EventLoop<State, EventBody> => {
  const queue: EventBody[] = [];
  let state = initialState;
  let isRunning = false;

  const runEffectSafely = (effect: Effect): void => {
    try {
      runEffect(effect);
    } catch (error) {
      const failureEvent = toFailureEvent(effect, error);
      if (failureEvent !== undefined) {
        queue.push(failureEvent);
      }
    }
  };

  const reduceNext = (body: EventBody): void => {
    const reduction = reduce(state, stampEvent(body));
    state = reduction.state;
    reduction.effects.forEach(runEffectSafely);
  };

  const reduceQueued = (): void => {
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
        reduceQueued();
      } finally {
        isRunning = false;
      }
    },
    getState: () => state,
  };
};
