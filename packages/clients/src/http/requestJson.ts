import { type Either, Left, Right } from 'purify-ts';
import { type Dispatcher, request } from 'undici';
import { MS_PER_SECOND } from '@parsleyhall/common';
import type { HttpResponse } from './httpResponse.js';
import type { PlatformFailure } from './platformFailure.js';

const DEFAULT_RETRY_AFTER_MS = 1_000;

const getField = (error: unknown, field: string): unknown =>
  typeof error === 'object' && error !== null ? Reflect.get(error, field) : undefined;

// If no connection was established, nothing was sent and the call cannot have had an effect.
const isConnectError = (error: unknown): boolean =>
  getField(error, 'syscall') === 'connect' || getField(error, 'code') === 'UND_ERR_CONNECT_TIMEOUT';

const getRetryAfterMs = (header: string | string[] | undefined): number => {
  const seconds = Number(header);
  return Number.isFinite(seconds) && seconds > 0 ? seconds * MS_PER_SECOND : DEFAULT_RETRY_AFTER_MS;
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

const getFailure = (error: unknown, signal: AbortSignal | undefined): PlatformFailure => {
  if (signal?.aborted === true) {
    return { type: 'aborted' };
  }
  const detail = error instanceof Error ? error.message : String(error);
  return isConnectError(error)
    ? { type: 'unavailable', detail }
    : { type: 'outcomeUnknown', detail };
};

/**
 * Sends a request with a JSON body and reads a JSON response; never retries. `timeoutMs` limits the time until the
 * response headers arrive, and the time between chunks of the response body.
 */
export const requestJson = async ({
  dispatcher,
  method,
  url,
  body,
  timeoutMs,
  signal,
}: {
  readonly dispatcher: Dispatcher;
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
}): Promise<Either<PlatformFailure, HttpResponse>> => {
  try {
    const response = await request(url, {
      dispatcher,
      method,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      ...(signal === undefined ? {} : { signal }),
      ...(body === undefined
        ? {}
        : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    });
    const text = await response.body.text();
    return Right({
      status: response.statusCode,
      retryAfterMs: getRetryAfterMs(response.headers['retry-after']),
      body: parseJson(text),
    });
  } catch (error) {
    return Left(getFailure(error, signal));
  }
};
