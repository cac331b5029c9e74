/** A daemon as a child process. */
export interface DaemonProcess extends AsyncDisposable {
  readonly listeners: Readonly<Record<string, string>>;
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Resolves with the exit code, or with null when a signal killed the process. */
  readonly exited: Promise<number | null>;
  /** Resolves with the first log line, already written or future, whose fields match. */
  readonly waitForLine: (
    fields: Readonly<Record<string, unknown>>,
  ) => Promise<Readonly<Record<string, unknown>>>;
}
