/** The names that this entry has used or received, by the hash that stands for them in digests. */
export interface NameTable {
  /** The hash of the name; the table knows the name from then on. */
  readonly add: (name: string) => number;
  /** The name with this hash; undefined if none or more than one is known. */
  readonly find: (hash: number) => string | undefined;
  /**
   * Whether the next field of a frame has to spell the name out; called once for each field that has the name, in the order
   * of the fields.
   */
  readonly takeSpelling: (name: string, frameNumber: number) => boolean;
  /** Spells all names out anew, since an entry lacks some. */
  readonly spellAll: () => void;
}
