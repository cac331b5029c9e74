import type { IncomingHttpHeaders } from 'node:http';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { z } from 'zod';
import type { ConfigurationDocument, Preset } from '@parsleyhall/configuration';
import { createInvalidRequest } from '../problems/createInvalidRequest.js';
import type { InvalidRequest } from '../problems/invalidRequest.js';
import type { RequestParameters } from './requestParameters.js';
import { headerSchema } from './headerSchema.js';
import { identifyTeam } from './identifyTeam.js';

type Headers = z.output<typeof headerSchema>;

const formatIssue = (issue: z.core.$ZodIssue): string =>
  `${issue.path.map(String).join('.')}: ${issue.message}`;

const parseHeaders = (headers: IncomingHttpHeaders): Either<InvalidRequest, Headers> => {
  const checked = headerSchema.safeParse(headers);
  return checked.success
    ? Right(checked.data)
    : Left(
        createInvalidRequest('malformedHeader', checked.error.issues.map(formatIssue).join('; ')),
      );
};

/** Reads a request's team, limits and labels from its headers; missing ones come from the active preset. */
export const readRequestParameters = (
  headers: IncomingHttpHeaders,
  document: ConfigurationDocument,
  preset: Preset,
): Either<InvalidRequest, RequestParameters> =>
  parseHeaders(headers).chain((headerValues) =>
    identifyTeam(document, headerValues.authorization, headerValues['x-team']).map((team) => {
      const tier = headerValues['x-tier'] ?? preset.defaultTier;
      const tierSettings = preset.tiers.find((candidate) => candidate.tier === tier);
      return {
        team: team.name,
        tier,
        timeoutMs: headerValues['x-deadline-ms'] ?? tierSettings?.deadlineMs ?? 0,
        firstTokenTimeoutMs: tierSettings?.firstTokenMs,
        kind: headerValues['x-kind'],
        idempotencyKey: headerValues['idempotency-key'],
      };
    }),
  );
