/** The moment for which the store is known to have held nothing newer, by both clocks of this process. */
export interface Confirmation {
  readonly steadyMs: number;
  readonly wallMs: number;
}
