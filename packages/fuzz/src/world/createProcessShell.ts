import type { Incarnation, Reducer } from '@parsleyhall/common';
import type { Life } from './life.js';
import type { ProcessShell } from './processShell.js';
import type { Simulation } from './simulation.js';
import { WORLD_SETTINGS } from './worldSettings.js';

/** Creates a process that runs one event after another and each event's effects in order. */
export const createProcessShell = <State, Event, Effect>({
  simulation,
  name,
  clockOffsetMs,
  wallSkewMs,
  newReducer,
  newTick,
  runEffect,
  onStart,
  onEnd,
}: {
  readonly simulation: Simulation;
  readonly name: string;
  readonly clockOffsetMs: number;
  readonly wallSkewMs: number;
  readonly newReducer: (incarnation: Incarnation) => {
    readonly initialState: State;
    readonly reduce: Reducer<State, Event, Effect>;
  };
  readonly newTick: (clock: { nowMs: number; wallMs: number }) => Event;
  readonly runEffect: (effect: Effect, life: Life<Event>) => void;
  readonly onStart: (life: Life<Event>) => void;
  readonly onEnd: (life: Life<Event>) => void;
}): ProcessShell<Event> => {
  let life: Life<Event> | undefined;
  let lives = 0;
  let pausedUntilMs = 0;
  let holdsNextEffects = false;
  let queue: (() => void)[] = [];
  let isDraining = false;

  const isPaused = (): boolean => simulation.getNowMs() < pausedUntilMs;
  const drainQueue = (): void => {
    if (isDraining) {
      return;
    }
    isDraining = true;
    while (!isPaused() && queue.length > 0) {
      queue.shift()?.();
    }
    isDraining = false;
  };
  const newLife = (): Life<Event> => {
    const incarnation = `${name}#${lives}` as Incarnation;
    const { initialState, reduce } = newReducer(incarnation);
    let state = initialState;
    const isCurrent = (): boolean => life?.incarnation === incarnation;
    const enqueue = (step: () => void): void => {
      if (!isCurrent()) {
        return;
      }
      queue.push(() => {
        if (isCurrent()) {
          step();
        }
      });
      drainQueue();
    };
    const takeEvent = (newEvent: Parameters<Life<Event>['deliver']>[0]): (() => void) => {
      const nowMs = simulation.getNowMs();
      const wallMs = WORLD_SETTINGS.wallClockAtStartMs + nowMs + wallSkewMs;
      const reduction = reduce(state, newEvent({ nowMs: nowMs + clockOffsetMs, wallMs }));
      state = reduction.state;
      return () => {
        for (const effect of reduction.effects) {
          if (isCurrent()) {
            runEffect(effect, created);
          }
        }
      };
    };
    const created: Life<Event> = {
      incarnation,
      isCurrent,
      deliver: (newEvent) => {
        // Events that wait already go first.
        if (holdsNextEffects && isCurrent() && queue.length === 0) {
          holdsNextEffects = false;
          queue.unshift(takeEvent(newEvent));
          return;
        }
        enqueue(() => {
          takeEvent(newEvent)();
        });
      },
      run: enqueue,
    };
    return created;
  };
  const tick = (ticking: Life<Event>): void => {
    if (!ticking.isCurrent()) {
      return;
    }
    ticking.deliver(newTick);
    ticking.run(() => {
      simulation.schedule(WORLD_SETTINGS.tickMs, () => {
        tick(ticking);
      });
    });
  };
  const kill = (): void => {
    const ended = life;
    life = undefined;
    queue = [];
    pausedUntilMs = 0;
    holdsNextEffects = false;
    if (ended !== undefined) {
      onEnd(ended);
    }
  };
  return {
    name,
    getLife: () => life,
    start: () => {
      if (life !== undefined) {
        return;
      }
      lives += 1;
      life = newLife();
      onStart(life);
      tick(life);
    },
    kill,
    pause: (forMs, holdsEffects) => {
      pausedUntilMs = Math.max(pausedUntilMs, simulation.getNowMs() + forMs);
      holdsNextEffects = holdsEffects;
      simulation.schedule(forMs, drainQueue);
    },
    isPaused,
  };
};
