/** One value that two documents differ in. */
export interface DocumentDifference {
  /** Place in the document; members of named lists go by their name, such as `presets.peak.defaultTier`. */
  readonly path: string;
  /** JSON text before; undefined when the value is new. */
  readonly before: string | undefined;
  /** JSON text after; undefined when the value is gone. */
  readonly after: string | undefined;
}
