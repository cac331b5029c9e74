/** How far the status records of all roll-outs have been read. Offsets of two eras are not compared. */
export interface StoreRevision {
  readonly era: number;
  readonly offset: number;
}
