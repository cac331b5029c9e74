/** What the target may be given at once, as learned from what this process sees. */
export interface WindowState {
  /** Requests, with the fraction that growth by small steps leaves. */
  readonly requests: number;
  /** Prefill and decode tokens; infinite until a limit was met. */
  readonly tokens: number;
}
