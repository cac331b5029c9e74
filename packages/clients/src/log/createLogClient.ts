import { type Either, Left, Right } from 'purify-ts';
import { Agent } from 'undici';
import { z } from 'zod';
import type { HttpAnswer } from '../http/httpAnswer.js';
import { requestJson } from '../http/requestJson.js';
import type { AppendedRange } from './appendedRange.js';
import type { LogClient } from './logClient.js';
import type { LogFailure } from './logFailure.js';
import type { LogPage } from './logPage.js';

const CONNECT_TIMEOUT_MS = 2_000;
const ANSWER_TIMEOUT_MS = 5_000;

const offset = z.int().min(0);

const appendedSchema: z.ZodType<AppendedRange> = z.object({
  firstOffset: offset,
  nextOffset: offset,
});

const pageSchema: z.ZodType<Omit<LogPage, 'from'>> = z.object({
  earliestOffset: offset,
  nextOffset: offset,
  endOffset: offset,
  records: z.array(z.object({ offset, appendedAtMs: z.number(), value: z.unknown() })),
});

const trimmedSchema = z.object({ earliestOffset: offset });

const getStatusFailure = ({ status, retryAfterMs, body }: HttpAnswer): LogFailure => {
  if (status === 503) {
    return { type: 'unavailable', detail: 'the service answered 503' };
  }
  if (status === 429) {
    return { type: 'rateLimited', retryAfterMs };
  }
  const trimmed = trimmedSchema.safeParse(body);
  if (status === 410 && trimmed.success) {
    return { type: 'trimmed', earliestOffset: trimmed.data.earliestOffset };
  }
  const detail = `the service answered ${status}`;
  return status >= 500 ? { type: 'outcomeUnknown', detail } : { type: 'malformed', detail };
};

const parseAnswer = <Output>(
  answer: HttpAnswer,
  schema: z.ZodType<Output>,
): Either<LogFailure, Output> => {
  if (answer.status !== 200) {
    return Left(getStatusFailure(answer));
  }
  const parsed = schema.safeParse(answer.body);
  return parsed.success
    ? Right(parsed.data)
    : Left({ type: 'malformed', detail: z.prettifyError(parsed.error) });
};

// An append whose answer cannot be read may have taken effect all the same.
const markUnreadableAppend = (failure: LogFailure): LogFailure =>
  failure.type === 'malformed' && failure.detail !== 'the service answered 400'
    ? { type: 'outcomeUnknown', detail: failure.detail }
    : failure;

// A read changes nothing, so a lost answer means no more than that the log is out of reach.
const markLostRead = (failure: LogFailure): LogFailure =>
  failure.type === 'outcomeUnknown' ? { type: 'unavailable', detail: failure.detail } : failure;

/** Connects to the log service at `ip:port`; disposing of the client closes its connections. */
export const createLogClient = ({ address }: { readonly address: string }): LogClient => {
  const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
  const getUrl = (stream: string): string => `http://${address}/v1/streams/${stream}/records`;
  return {
    append: async ({ stream, records, signal }) => {
      const answer = await requestJson({
        dispatcher,
        method: 'POST',
        url: getUrl(stream),
        body: { records },
        timeoutMs: ANSWER_TIMEOUT_MS,
        signal,
      });
      return answer
        .chain<LogFailure, AppendedRange>((value) => parseAnswer(value, appendedSchema))
        .mapLeft(markUnreadableAppend);
    },
    read: async ({ stream, from, limit, waitMs, signal }) => {
      const answer = await requestJson({
        dispatcher,
        method: 'GET',
        url: `${getUrl(stream)}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
        timeoutMs: ANSWER_TIMEOUT_MS + waitMs,
        signal,
      });
      return answer
        .chain<LogFailure, Omit<LogPage, 'from'>>((value) => parseAnswer(value, pageSchema))
        .map((page) => ({ ...page, from }))
        .mapLeft(markLostRead);
    },
    [Symbol.asyncDispose]: () => dispatcher.destroy(),
  };
};
