/** Lines on their way to a file descriptor, in bounded memory and at a bounded rate. */
export interface BoundedOutput extends AsyncDisposable {
  /** Never waits; a line beyond the bounds is counted and left out. */
  readonly write: (line: string) => void;
  /** The same for a line that is worth more: the last part of each bound is kept for these. */
  readonly writeFirst: (line: string) => void;
  /** Is told, before the lines that follow, how many were left out. */
  readonly whenLeftOut: (tell: (lines: number) => void) => void;
}
