/** A started process of the bench; disposing it ends it. */
export interface RunningProcess extends AsyncDisposable {
  readonly name: string;
  readonly pid: number;
  /** Fields of the line by which it said that it listens. */
  readonly listening: Readonly<Record<string, unknown>>;
  /** Sends a signal and resolves at the process's end; kills it when it takes too long. */
  readonly end: (signal: 'SIGTERM' | 'SIGKILL', allowanceMs?: number) => Promise<void>;
}
