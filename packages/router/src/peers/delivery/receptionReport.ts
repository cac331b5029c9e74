/** What an entry states about how the digests of others reach it. */
export interface ReceptionReport {
  /**
   * Hashes of the hosts whose digests reach it too rarely through relaying entries, and of those in its own data centre
   * whose frames do not reach it, which therefore cannot relay to it.
   */
  readonly wantsDirect: readonly number[];
  /** It asks every entry for direct sends, since nothing is relayed to it any more or most of its data centre is silent. */
  readonly wantsAllDirect: boolean;
}
