import type { TeamName } from '@parsleyhall/common';

/** A team that may send requests. */
export interface Team {
  readonly name: TeamName;
  /** SHA-256 of the team's bearer token in lower-case hexadecimal; absent if the team needs no token. */
  readonly tokenSha256?: string | undefined;
  /** Share of the capacity within a tier, relative to the weights of the other teams. */
  readonly weight: number;
}
