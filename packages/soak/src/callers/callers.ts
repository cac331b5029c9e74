/** Callers that keep coming. */
export interface Callers {
  /** They come that many times as often from now on. */
  readonly multiply: (times: number) => void;
  /** Sends no more and waits for what is under way. */
  readonly end: () => Promise<void>;
}
