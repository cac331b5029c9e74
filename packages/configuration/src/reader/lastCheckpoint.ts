/**
 * When the log last received a record from which a new reader can start: an up-to-date checkpoint, or the first record
 * of the stream. `seen`: such a record was appended at `atMs`. `notSeen`: the reader has not met one; the first record
 * that it read was appended at `atMs`.
 */
export interface LastCheckpoint {
  readonly type: 'seen' | 'notSeen';
  /** Wall clock of the log, in milliseconds. */
  readonly atMs: number;
}
