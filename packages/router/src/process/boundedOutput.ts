/** Lines on their way to a file descriptor, in bounded memory. */
export interface BoundedOutput extends AsyncDisposable {
  /** Never waits; a line beyond the bound is counted and left out. */
  readonly write: (line: string) => void;
}
