import { z } from 'zod';
import type { PoolName, TeamName } from '@parsleyhall/common';
import type { ConfigurationDocument } from './configurationDocument.js';
import { findCrossFaults } from './findCrossFaults.js';

const SHA256_HEX = /^[0-9a-f]{64}$/;

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);
const teamName = name.transform((value) => value as TeamName);
const poolName = name.transform((value) => value as PoolName);
const tier = z.union([z.literal(1), z.literal(2), z.literal(3), z.literal(4)]);
const share = z.number().min(0).max(1);
const positive = z.number().positive();

const documentShape = z.strictObject({
  teams: z.array(
    z.strictObject({
      name: teamName,
      tokenSha256: z.string().regex(SHA256_HEX).optional(),
      weight: positive.default(1),
    }),
  ),
  pools: z.array(
    z.strictObject({
      name: poolName,
      kind: z.enum(['engine', 'service']),
      models: z.array(z.string().min(1)).default([]),
      nonIdempotentCalls: z
        .array(
          z.strictObject({ method: z.string().min(1), pathPrefix: z.string().startsWith('/') }),
        )
        .default([]),
      checksFencing: z.boolean().default(false),
    }),
  ),
  presets: z
    .array(
      z.strictObject({
        name,
        tiers: z
          .array(
            z.strictObject({
              tier,
              objective: share,
              deadlineMs: positive,
              firstTokenMs: positive.optional(),
              betweenTokensMs: positive.optional(),
            }),
          )
          .length(4),
        defaultTier: tier.default(3),
        lowestTierAdmitted: tier.default(4),
        tierOneReservedShare: share.default(0.1),
        teamLimits: z
          .array(
            z.strictObject({
              team: teamName,
              requestsPerSecond: positive.optional(),
              tokensPerSecond: positive.optional(),
              waitingRequests: positive.optional(),
              waitingBytes: positive.optional(),
            }),
          )
          .default([]),
        pricePerMillionPrefillTokens: z.number().min(0).default(0),
      }),
    )
    .min(1),
  initialPreset: name,
});

/** Checks and types a configuration document, with the faults that lie between its parts. */
export const configurationDocumentSchema: z.ZodType<ConfigurationDocument> =
  documentShape.superRefine(
    (input, check) => {
      for (const { path, allowed } of findCrossFaults(input)) {
        check.addIssue({ code: 'custom', path: [...path], message: allowed });
      }
    },
    { when: () => true },
  );
