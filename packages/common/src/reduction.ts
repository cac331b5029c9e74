/** The result of a reducer: the next state and the effects to run, in order. */
export interface Reduction<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}
