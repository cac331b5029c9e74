import { z } from 'zod';
import type { PoolName, TeamName } from '@parsleyhall/common';
import type { ConfigurationDocument } from './configurationDocument.js';
import { findConsistencyFaults } from './findConsistencyFaults.js';

const SHA256_HEX = /^[0-9a-f]{64}$/;

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);
const teamName = name.transform((value) => value as TeamName);
const poolName = name.transform((value) => value as PoolName);
const tier = z.union([z.literal(1), z.literal(2), z.literal(3), z.literal(4)]);
const share = z.number().min(0).max(1);
const positive = z.number().positive();

const documentObjectSchema = z.strictObject({
  teams: z
    .array(
      z.strictObject({
        name: teamName.describe('Name of the team as callers send it'),
        tokenSha256: z
          .string()
          .regex(SHA256_HEX)
          .optional()
          .describe("SHA-256 of the team's bearer token; if absent, the team needs no token"),
        weight: positive
          .default(1)
          .describe('Share of the capacity within a tier, relative to the other teams'),
      }),
    )
    .describe('Teams that may send requests'),
  pools: z
    .array(
      z.strictObject({
        name: poolName.describe('Name of the pool as in the settings of its side processes'),
        kind: z
          .enum(['engine', 'service'])
          .describe('Whether the targets are model engines or a plain service'),
        models: z
          .array(z.string().min(1))
          .default([])
          .describe('Models that the engines serve; each model belongs to one pool only'),
        nonIdempotentCalls: z
          .array(
            z.strictObject({
              method: z.string().min(1).describe('HTTP method'),
              pathPrefix: z.string().startsWith('/').describe('Prefix of the path'),
            }),
          )
          .default([])
          .describe('Calls that are not idempotent; they need an Idempotency-Key'),
        checksFencing: z
          .boolean()
          .default(false)
          .describe('True when the targets reject a call with an outdated fencing token'),
      }),
    )
    .describe('Pools of targets'),
  presets: z
    .array(
      z.strictObject({
        name: name.describe('Name of the preset'),
        tiers: z
          .array(
            z.strictObject({
              tier: tier.describe('Tier; 1 is the most urgent'),
              objective: share.describe('Share of requests to be answered completely and in time'),
              deadlineMs: positive.describe('Default deadline of a request'),
              firstTokenMs: positive
                .optional()
                .describe('Upper limit of the time to the first token'),
              betweenTokensMs: positive
                .optional()
                .describe('Upper limit of the time between tokens'),
            }),
          )
          .length(4)
          .describe('One entry for each of the four tiers'),
        defaultTier: tier.default(3).describe('Default tier of a request'),
        lowestTierAdmitted: tier.default(4).describe('Lowest tier that is admitted; 4 admits all'),
        tierOneReservedShare: share
          .default(0.1)
          .describe("Share of each target's concurrency window reserved for tier 1"),
        teamLimits: z
          .array(
            z.strictObject({
              team: teamName.describe('Name of the team'),
              requestsPerSecond: positive
                .optional()
                .describe('Maximum number of requests per second'),
              tokensPerSecond: positive.optional().describe('Maximum number of tokens per second'),
              waitingRequests: positive.optional().describe('Maximum number of queued requests'),
              waitingBytes: positive
                .optional()
                .describe('Maximum total size of the bodies of queued requests, in bytes'),
            }),
          )
          .default([])
          .describe('Limits of individual teams, applied by each entry separately'),
        pricePerMillionPrefillTokens: z
          .number()
          .min(0)
          .default(0)
          .describe('Price per million prefill tokens, for the burn report'),
      }),
    )
    .min(1)
    .describe('Presets; exactly one is in force'),
  initialPreset: name.describe('Name of the preset that is in force after the first publication'),
});

/** Validates a configuration document, including the consistency between its parts. */
export const configurationDocumentSchema: z.ZodType<ConfigurationDocument> =
  documentObjectSchema.superRefine(
    (input, context) => {
      for (const { path, allowed } of findConsistencyFaults(input)) {
        context.addIssue({ code: 'custom', path: [...path], message: allowed });
      }
    },
    { when: () => true },
  );
