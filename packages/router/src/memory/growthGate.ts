/** Decides which buffered responses may grow while the budget is short; the others wait in order. */
export interface GrowthGate<Holder> {
  /** Whether more of the response may be read now; if not, `resume` is called once it may. */
  readonly mayGrow: (holder: Holder, resume: () => void) => boolean;
  /** Has to be called when the response is written out or no longer buffered. */
  readonly leave: (holder: Holder) => void;
  /** Has to be called when memory was released. */
  readonly notifyReleased: () => void;
}
