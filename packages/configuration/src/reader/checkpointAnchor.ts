/**
 * From when on the log can be relied on to hold a start for a new reader. `covered`: a checkpoint, or the first record
 * of the stream, was appended then. `unseen`: reading began at a record appended then, with no checkpoint seen since.
 * Times are of the log's wall clock, in milliseconds.
 */
export interface CheckpointAnchor {
  readonly type: 'covered' | 'unseen';
  readonly atMs: number;
}
