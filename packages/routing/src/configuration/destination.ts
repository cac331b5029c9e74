/** One service of a route and its share of the route's requests. */
export interface Destination {
  readonly service: string;
  /** Relative to the sum of the route's weights. */
  readonly weight: number;
}
