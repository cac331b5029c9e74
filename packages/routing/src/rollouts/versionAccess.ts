/** The targets of a service that this entry may use now, by their version. */
export interface VersionAccess {
  /** Versions that get the service's requests. */
  readonly isRegular: (version: string | undefined) => boolean;
  /** Versions that are used if no listed target has a regular one. */
  readonly isFallback: (version: string | undefined) => boolean;
  /** The version that gets a part of the requests; undefined if none does. */
  readonly exposedVersion?: string;
}
