/** A running process of the system; disposing of it ends it immediately. */
export interface RunningProcess extends AsyncDisposable {
  /** Bound `ip:port` of each listener. */
  readonly listeners: Readonly<Record<string, string>>;
  /** Starts a planned stop. */
  readonly requestStop: () => void;
  /** Resolves when the planned stop is finished. */
  readonly whenStopped: Promise<void>;
}
