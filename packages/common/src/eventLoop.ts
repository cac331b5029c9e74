/**
 * Reduces the events of a process one at a time and runs the resulting effects in order. An `EventBody` is an event without
 * its time.
 */
export interface EventLoop<State, EventBody> {
  /** Reduces the event now, or after the event in progress; a failing effect does not make it throw. */
  readonly dispatch: (body: EventBody) => void;
  readonly getState: () => State;
}
