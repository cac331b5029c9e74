import type { TeamName } from '@parsleyhall/common';

/** A team that may send requests. */
export interface Team {
  readonly name: TeamName;
  /** SHA-256 of the team's bearer token in lower-case hexadecimal; absent when the team needs none. */
  readonly tokenSha256?: string | undefined;
  /** Share of the room within a tier, relative to the other teams. */
  readonly weight: number;
}
