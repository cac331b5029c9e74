/** Writes lines to a file descriptor, with bounded memory and at a bounded rate. */
export interface BoundedOutput extends AsyncDisposable {
  /** Never blocks; a line that exceeds the bounds is counted and dropped. */
  readonly write: (line: string) => void;
  /** Writes a line of higher priority: the last part of each bound is reserved for these. */
  readonly writePriority: (line: string) => void;
  /** Sets the function that reports how many lines were dropped, before the next line is written. */
  readonly setDropReporter: (reportDropped: (droppedLines: number) => void) => void;
}
