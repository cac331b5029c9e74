import { type Either, Left, Right } from 'purify-ts';
import { Agent } from 'undici';
import { z } from 'zod';
import type { HttpResponse } from '../http/httpResponse.js';
import { requestJson } from '../http/requestJson.js';
import type { AppendedRange } from './appendedRange.js';
import type { LogClient } from './logClient.js';
import type { LogFailure } from './logFailure.js';
import type { LogPage } from './logPage.js';

const CONNECT_TIMEOUT_MS = 2_000;
const RESPONSE_TIMEOUT_MS = 5_000;

const offset = z.int().min(0);

const appendedRangeSchema: z.ZodType<AppendedRange> = z.object({
  firstOffset: offset,
  nextOffset: offset,
});

const pageSchema: z.ZodType<Omit<LogPage, 'from'>> = z.object({
  earliestOffset: offset,
  nextOffset: offset,
  endOffset: offset,
  records: z.array(z.object({ offset, appendedAtMs: z.number(), value: z.unknown() })),
});

const trimmedBodySchema = z.object({ earliestOffset: offset });

const getStatusFailure = ({ status, retryAfterMs, body }: HttpResponse): LogFailure => {
  if (status === 503) {
    return { type: 'unavailable', detail: 'the service responded with status 503' };
  }
  if (status === 429) {
    return { type: 'rateLimited', retryAfterMs };
  }
  const trimmed = trimmedBodySchema.safeParse(body);
  if (status === 410 && trimmed.success) {
    return { type: 'trimmed', earliestOffset: trimmed.data.earliestOffset };
  }
  const detail = `the service responded with status ${status}`;
  return status >= 500 ? { type: 'outcomeUnknown', detail } : { type: 'malformed', detail };
};

const parseResponse = <Output>(
  response: HttpResponse,
  schema: z.ZodType<Output>,
): Either<LogFailure, Output> => {
  if (response.status !== 200) {
    return Left(getStatusFailure(response));
  }
  const parsed = schema.safeParse(response.body);
  return parsed.success
    ? Right(parsed.data)
    : Left({ type: 'malformed', detail: z.prettifyError(parsed.error) });
};

// An append may have succeeded even though its response cannot be parsed.
const toAppendFailure = (failure: LogFailure): LogFailure =>
  failure.type === 'malformed' && failure.detail !== 'the service responded with status 400'
    ? { type: 'outcomeUnknown', detail: failure.detail }
    : failure;

// A read has no side effects, so a lost response only means that the log is unavailable.
const toReadFailure = (failure: LogFailure): LogFailure =>
  failure.type === 'outcomeUnknown' ? { type: 'unavailable', detail: failure.detail } : failure;

/** Creates a client of the log service at `address` (`ip:port`); disposing of it closes its connections. */
export const createLogClient = ({ address }: { readonly address: string }): LogClient => {
  const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
  const getUrl = (stream: string): string => `http://${address}/v1/streams/${stream}/records`;
  return {
    append: async ({ stream, records, signal }) => {
      const response = await requestJson({
        dispatcher,
        method: 'POST',
        url: getUrl(stream),
        body: { records },
        timeoutMs: RESPONSE_TIMEOUT_MS,
        signal,
      });
      return response
        .chain<LogFailure, AppendedRange>((value) => parseResponse(value, appendedRangeSchema))
        .mapLeft(toAppendFailure);
    },
    read: async ({ stream, from, limit, waitMs, signal }) => {
      const response = await requestJson({
        dispatcher,
        method: 'GET',
        url: `${getUrl(stream)}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
        timeoutMs: RESPONSE_TIMEOUT_MS + waitMs,
        signal,
      });
      return response
        .chain<LogFailure, Omit<LogPage, 'from'>>((value) => parseResponse(value, pageSchema))
        .map((page) => ({ ...page, from }))
        .mapLeft(toReadFailure);
    },
    [Symbol.asyncDispose]: () => dispatcher.destroy(),
  };
};
