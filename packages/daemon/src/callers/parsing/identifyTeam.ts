import { createHash, timingSafeEqual } from 'node:crypto';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { ConfigurationDocument, Team } from '@parsleyhall/configuration';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import { createInvalidRequest } from '../problems/createInvalidRequest.js';

const BEARER_TOKEN = /^Bearer +(\S+)$/i;

const findByToken = (teams: readonly Team[], token: string): Team | undefined => {
  const tokenDigest = createHash('sha256').update(token).digest();
  return teams.find(
    ({ tokenSha256 }) =>
      tokenSha256 !== undefined && timingSafeEqual(Buffer.from(tokenSha256, 'hex'), tokenDigest),
  );
};

const findWithoutToken = (teams: readonly Team[], name: string | undefined): Team | undefined =>
  teams.find((team) => team.name === name && team.tokenSha256 === undefined);

/** Finds a caller's team by its bearer token, or by the name in `x-team` when that team has no token. */
export const identifyTeam = (
  { teams }: Pick<ConfigurationDocument, 'teams'>,
  authorization: string | undefined,
  name: string | undefined,
): Either<InvalidRequest, Team> => {
  const token = BEARER_TOKEN.exec(authorization ?? '')?.[1];
  const byToken = token === undefined ? undefined : findByToken(teams, token);
  if (byToken !== undefined && name !== undefined && name !== byToken.name) {
    return Left(
      createInvalidRequest('unknownTeam', 'The token is not that of the team in x-team.'),
    );
  }
  const team = byToken ?? findWithoutToken(teams, name);
  return team === undefined
    ? Left(createInvalidRequest('unknownTeam', 'Neither the bearer token nor x-team names a team.'))
    : Right(team);
};
