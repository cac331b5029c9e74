/** The one queue of a process: events go in, effects run in order. */
export interface EventLoop<State, Body> {
  /** Reduces the event now, or after the one in progress; never throws for an effect that fails. */
  readonly dispatch: (body: Body) => void;
  readonly getState: () => State;
}
