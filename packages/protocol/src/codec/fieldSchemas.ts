import { z } from 'zod';
import type {
  GrantId,
  HostName,
  Incarnation,
  PoolName,
  RequestId,
  TeamName,
} from '@parsleyhall/common';

const MAXIMUM_NAME_CHARACTERS = 512;
const MAXIMUM_PATH_CHARACTERS = 16_384;
const MAXIMUM_HEADERS = 200;

const name = z.string().min(1).max(MAXIMUM_NAME_CHARACTERS);
const count = z.int().min(0);
const quantity = z.number().min(0);
const tier = z.union([z.literal(1), z.literal(2), z.literal(3), z.literal(4)]);
const headers = z
  .record(z.string(), z.string())
  .refine((value) => Object.keys(value).length <= MAXIMUM_HEADERS);

/** Ranges of the fields that several messages share. */
export const fieldSchemas = {
  name,
  label: z.string().max(MAXIMUM_NAME_CHARACTERS),
  path: z.string().max(MAXIMUM_PATH_CHARACTERS),
  count,
  quantity,
  tier,
  headers,
  bytes: z.instanceof(Uint8Array),
  requestId: name.transform((value) => value as RequestId),
  grantId: name.transform((value) => value as GrantId),
  incarnation: name.transform((value) => value as Incarnation),
  host: name.transform((value) => value as HostName),
  pool: name.transform((value) => value as PoolName),
  team: name.transform((value) => value as TeamName),
} as const;
