import { z } from 'zod';
import type { EntryId } from '@parsleyhall/common';
import type { EntryToSideMessage } from '../entryToSideMessage.js';
import { configurationBytesSchema } from './configurationBytesSchema.js';
import { fieldSchemas as field } from './fieldSchemas.js';

const MAXIMUM_FINGERPRINTS = 64;

const reservation = z.object({
  requestId: field.requestId,
  pool: field.pool,
  model: field.label,
  tier: field.tier,
  team: field.team,
  kind: field.label,
  deadlineLeftMs: field.quantity,
  firstTokenLeftMs: z.exactOptional(field.quantity),
  prefillTokens: field.count,
  decodeTokens: field.count,
  prefixFingerprints: z.array(field.count).max(MAXIMUM_FINGERPRINTS),
  isNonIdempotent: z.boolean(),
});

const call = z.object({
  method: field.name,
  path: field.path.min(1),
  headers: field.headers,
  body: field.bytes,
  isStreaming: z.boolean(),
  fencingOffset: z.exactOptional(field.count),
});

const reference = { grantId: field.grantId, requestId: field.requestId };

/** Checks a decoded message of an entry. */
export const entryToSideSchema: z.ZodType<EntryToSideMessage> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('hello'),
    entry: field.name.transform((value) => value as EntryId),
    incarnation: field.incarnation,
    configurationVersion: field.count,
  }),
  z.object({ type: z.literal('reserve'), reservation }),
  z.object({ type: z.literal('withdraw'), requestId: field.requestId }),
  z.object({ type: z.literal('give'), ...reference, call, deadlineLeftMs: field.quantity }),
  z.object({ type: z.literal('gone'), ...reference }),
  z.object({ type: z.literal('cancel'), ...reference }),
  z.object({ type: z.literal('askFate'), ...reference, fromByte: field.count }),
  z.object({ type: z.literal('acknowledgeEnd'), ...reference }),
  z.object({ type: z.literal('heartbeat'), configurationVersion: field.count }),
  z
    .object({ type: z.literal('configuration'), stateJson: configurationBytesSchema })
    .transform(({ stateJson }) => ({ type: 'configuration', configuration: stateJson }) as const),
]);
