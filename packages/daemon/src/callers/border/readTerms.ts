import type { IncomingHttpHeaders } from 'node:http';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { z } from 'zod';
import type { ConfigurationDocument, Preset } from '@parsleyhall/configuration';
import { newInvalidRequest } from '../problems/newInvalidRequest.js';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import type { CallerTerms } from './callerTerms.js';
import { headerSchema } from './headerSchema.js';
import { identifyTeam } from './identifyTeam.js';

type Headers = z.output<typeof headerSchema>;

const describe = (issue: z.core.$ZodIssue): string =>
  `${issue.path.map(String).join('.')}: ${issue.message}`;

const readHeaders = (headers: IncomingHttpHeaders): Either<InvalidRequest, Headers> => {
  const checked = headerSchema.safeParse(headers);
  return checked.success
    ? Right(checked.data)
    : Left(newInvalidRequest('malformedHeader', checked.error.issues.map(describe).join('; ')));
};

/** Reads who asks and on what terms; absent terms are those of the preset in force. */
export const readTerms = (
  headers: IncomingHttpHeaders,
  document: ConfigurationDocument,
  preset: Preset,
): Either<InvalidRequest, CallerTerms> =>
  readHeaders(headers).chain((given) =>
    identifyTeam(document, given.authorization, given['x-team']).map((team) => {
      const tier = given['x-tier'] ?? preset.defaultTier;
      const objective = preset.tiers.find((candidate) => candidate.tier === tier);
      return {
        team: team.name,
        tier,
        deadlineInMs: given['x-deadline-ms'] ?? objective?.deadlineMs ?? 0,
        firstTokenInMs: objective?.firstTokenMs,
        kind: given['x-kind'],
        idempotencyKey: given['idempotency-key'],
      };
    }),
  );
