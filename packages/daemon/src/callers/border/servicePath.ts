/** A path below `/services`, split. */
export interface ServicePath {
  readonly pool: string;
  /** Path with query on the target. */
  readonly targetPath: string;
  /** The path decoded and without dot segments or doubled slashes, for matching prefixes. */
  readonly plainPath: string;
}
