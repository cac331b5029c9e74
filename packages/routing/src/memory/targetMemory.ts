/** The memory of a target as far as this entry may use it. */
export interface TargetMemory {
  /** All of it, in tokens. */
  readonly totalTokens: number;
  /** Tokens that new requests of this entry may hold there; may be negative. */
  readonly freeTokens: number;
  /** No request is there, and this entry alone may send one that leaves less than the reserve. */
  readonly isFillable: boolean;
}
