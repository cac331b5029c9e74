import { type Either, Left, Right } from 'purify-ts';
import { Agent } from 'undici';
import { z } from 'zod';
import type { HostName, PoolName } from '@parsleyhall/common';
import type { HttpResponse } from '../http/httpResponse.js';
import type { PlatformFailure } from '../http/platformFailure.js';
import { requestJson } from '../http/requestJson.js';
import type { HostList } from './hostList.js';
import type { HostListClient } from './hostListClient.js';

const CONNECT_TIMEOUT_MS = 2_000;
const RESPONSE_TIMEOUT_MS = 5_000;

const hostListSchema: z.ZodType<HostList> = z.object({
  asOfMs: z.number(),
  hosts: z.array(
    z.object({
      host: z.string().transform((value) => value as HostName),
      dataCentre: z.string(),
      role: z.enum(['entry', 'target']),
      process: z.string(),
      pool: z
        .string()
        .transform((value) => value as PoolName)
        .optional(),
      address: z.string(),
      operatorAddress: z.string().optional(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

const parseResponse = ({ status, body }: HttpResponse): Either<PlatformFailure, HostList> => {
  if (status !== 200) {
    return Left({ type: 'unavailable', detail: `the service responded with status ${status}` });
  }
  const parsed = hostListSchema.safeParse(body);
  return parsed.success
    ? Right(parsed.data)
    : Left({ type: 'malformed', detail: z.prettifyError(parsed.error) });
};

/** Creates a client of the host list service at `address` (`ip:port`); disposing of it closes its connections. */
export const createHostListClient = ({ address }: { readonly address: string }): HostListClient => {
  const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
  return {
    list: async ({ signal } = {}) => {
      const response = await requestJson({
        dispatcher,
        method: 'GET',
        url: `http://${address}/v1/hosts`,
        timeoutMs: RESPONSE_TIMEOUT_MS,
        signal,
      });
      return response.chain(parseResponse);
    },
    [Symbol.asyncDispose]: () => dispatcher.destroy(),
  };
};
