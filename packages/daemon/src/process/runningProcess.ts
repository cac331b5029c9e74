/** A process of the system as it runs; disposing of it ends it at once. */
export interface RunningProcess extends AsyncDisposable {
  /** Bound `ip:port` of each listener. */
  readonly listeners: Readonly<Record<string, string>>;
  /** Begins a planned stop. */
  readonly requestStop: () => void;
  /** Resolves when the planned stop is finished. */
  readonly whenStopped: Promise<void>;
}
