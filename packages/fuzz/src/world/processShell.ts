import type { Life } from './life.js';

/** A process around a reducer that can be killed, paused and replaced. */
export interface ProcessShell<Event> {
  readonly name: string;
  readonly getLife: () => Life<Event> | undefined;
  readonly start: () => void;
  /** Ends the life: memory, queue and effects not yet run are lost. */
  readonly kill: () => void;
  /** Stops the process for a time; with `holdsEffects` between a step and its effects. */
  readonly pause: (forMs: number, holdsEffects: boolean) => void;
  readonly isPaused: () => boolean;
}
