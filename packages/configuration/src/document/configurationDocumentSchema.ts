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
  teams: z
    .array(
      z.strictObject({
        name: teamName.describe('Name of the team, as callers send it'),
        tokenSha256: z
          .string()
          .regex(SHA256_HEX)
          .optional()
          .describe("SHA-256 of the team's bearer token; without it the team needs none"),
        weight: positive.default(1).describe('Share of the room within a tier, beside the others'),
      }),
    )
    .describe('Teams that may send requests'),
  pools: z
    .array(
      z.strictObject({
        name: poolName.describe('Name of the pool, as side processes are set to'),
        kind: z.enum(['engine', 'service']).describe('Model engines or a plain service'),
        models: z
          .array(z.string().min(1))
          .default([])
          .describe('Models that the engines answer to; a model is in one pool only'),
        nonIdempotentCalls: z
          .array(
            z.strictObject({
              method: z.string().min(1).describe('HTTP method'),
              pathPrefix: z.string().startsWith('/').describe('Start of the path'),
            }),
          )
          .default([])
          .describe('Calls that may not be repeated; they need an Idempotency-Key'),
        checksFencing: z
          .boolean()
          .default(false)
          .describe('True when the targets refuse an order with an old fencing number'),
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
              objective: share.describe('Share of requests to be answered whole and in time'),
              deadlineMs: positive.describe('Deadline of a request that names none'),
              firstTokenMs: positive.optional().describe('Bound of the time to the first token'),
              betweenTokensMs: positive.optional().describe('Bound of the time between tokens'),
            }),
          )
          .length(4)
          .describe('One entry for each of the four tiers'),
        defaultTier: tier.default(3).describe('Tier of a request that names none'),
        lowestTierAdmitted: tier.default(4).describe('Lowest tier admitted; 4 admits all'),
        tierOneReservedShare: share
          .default(0.1)
          .describe("Share of each target's window kept free for tier one"),
        teamLimits: z
          .array(
            z.strictObject({
              team: teamName.describe('One of the teams'),
              requestsPerSecond: positive.optional().describe('Requests taken a second'),
              tokensPerSecond: positive.optional().describe('Tokens taken a second'),
              waitingRequests: positive.optional().describe('Requests that may wait at once'),
              waitingBytes: positive.optional().describe('Bytes of bodies that may wait at once'),
            }),
          )
          .default([])
          .describe('Limits of single teams, at each entry'),
        pricePerMillionPrefillTokens: z
          .number()
          .min(0)
          .default(0)
          .describe('Price of a million prefill tokens, for the burn report'),
      }),
    )
    .min(1)
    .describe('Presets, of which exactly one is in force'),
  initialPreset: name.describe('Preset in force after the first publication'),
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
