/** When a request would show its first token and end if it were started now, in milliseconds from now. */
export interface Prediction {
  readonly firstTokenMs: number;
  readonly finishMs: number;
}
