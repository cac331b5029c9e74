import type { Incarnation } from '@parsleyhall/common';

/** One life of a process, from its start to its end. */
export interface Life<Event> {
  readonly incarnation: Incarnation;
  readonly isCurrent: () => boolean;
  /** Hands an event to the reducer, now or when the process runs again. */
  readonly deliver: (newEvent: (clock: { nowMs: number; wallMs: number }) => Event) => void;
  /** Runs a step of the shell, now or when the process runs again; never after the life's end. */
  readonly run: (step: () => void) => void;
}
