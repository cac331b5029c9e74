/** The tokens that a request may hold to fit into one of several targets with free slots. */
export interface Room {
  /** The most that is free at one of them, less the reserve; infinite if memory is not limited. */
  readonly freeTokens: number;
  /** The most that one without any requests, which this entry may fill, holds in total; -Infinity if there is none. */
  readonly emptyTokens: number;
}
