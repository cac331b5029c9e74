/** Simulated callers that send requests continuously. */
export interface Callers {
  /** Multiplies the request rate from now on. */
  readonly multiplyRate: (factor: number) => void;
  /** Sets the share of the streams whose prompts have this part. */
  readonly setPoisonShare: (part: string, share: number) => void;
  /** Stops sending and waits for the pending requests. */
  readonly stop: () => Promise<void>;
}
