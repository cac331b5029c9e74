/** A path below `/services`, split into the pool and the path on the target. */
export interface ServicePath {
  readonly pool: string;
  /** Path with query on the target. */
  readonly targetPath: string;
  /** The decoded target path without dot segments or repeated slashes, for matching prefixes. */
  readonly normalizedPath: string;
}
