import type { Reducer } from './reducer.js';
import type { EventLoop } from './eventLoop.js';

const rethrow = (_: unknown, error: unknown): never => {
  throw error;
};

/**
 * Creates an event loop around a reducer. A failing effect is turned into an event if `toFailureEvent` returns one. An
 * event that the reducer fails on leaves the state as it was.
 */
export const createEventLoop = <State, Event, EventBody, Effect>({
  initialState,
  reduce,
  stampEvent,
  runEffect,
  toFailureEvent,
  handleReducerError = rethrow,
}: {
  readonly initialState: State;
  readonly reduce: Reducer<State, Event, Effect>;
  /** Adds the time to an event just before it is reduced. */
  readonly stampEvent: (body: EventBody) => Event;
  readonly runEffect: (effect: Effect) => void;
  readonly toFailureEvent: (effect: Effect, error: unknown) => EventBody | undefined;
  /** Receives an event that the reducer failed on; by default the error ends the dispatch. */
  readonly handleReducerError?: (body: EventBody, error: unknown) => void;
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

  const reduceSafely = (body: EventBody): readonly Effect[] => {
    try {
      const reduction = reduce(state, stampEvent(body));
      state = reduction.state;
      return reduction.effects;
    } catch (error) {
      handleReducerError(body, error);
      return [];
    }
  };

  const reduceQueued = (): void => {
    for (let body = queue.shift(); body !== undefined; body = queue.shift()) {
      reduceSafely(body).forEach(runEffectSafely);
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
