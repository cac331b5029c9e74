/** A stated need and what was measured of it. */
export interface Bound {
  readonly name: string;
  readonly limit: number;
  readonly measured: number;
  readonly isMet: boolean;
}
