/** A daemon as a child process. */
export interface DaemonProcess extends AsyncDisposable {
  readonly listeners: Readonly<Record<string, string>>;
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Resolves with the exit code; null after a signal that killed it. */
  readonly exited: Promise<number | null>;
  /** Resolves with the first line, past or to come, whose fields match. */
  readonly waitForLine: (
    fields: Readonly<Record<string, unknown>>,
  ) => Promise<Readonly<Record<string, unknown>>>;
}
