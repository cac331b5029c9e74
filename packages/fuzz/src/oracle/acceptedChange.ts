/** A record of the configuration that won: its offset is the version. */
export interface AcceptedChange {
  readonly version: number;
  readonly atMs: number;
  readonly publicationId: string;
  readonly presetInForce: string;
  readonly drainedHosts: readonly string[];
}
