/** Where the platform's stand-ins of a cluster listen. */
export interface PlatformAddresses {
  readonly log: string;
  /** A list of hosts for each data centre, so that the addresses in it can carry the delay to there. */
  readonly listByDataCentre: ReadonlyMap<string, string>;
}
