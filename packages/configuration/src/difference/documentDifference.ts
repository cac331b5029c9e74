/** A value that differs between two documents. */
export interface DocumentDifference {
  /** Path of the value; items of a named list appear under their name, such as `presets.peak.defaultTier`. */
  readonly path: string;
  /** JSON of the old value; undefined if the value was added. */
  readonly before: string | undefined;
  /** JSON of the new value; undefined if the value was removed. */
  readonly after: string | undefined;
}
