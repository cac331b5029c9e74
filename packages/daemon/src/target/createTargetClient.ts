import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import type { GrantId, RequestId } from '@parsleyhall/common';
import type { TargetCall } from '@parsleyhall/protocol';
import { createUsageReader } from './createUsageReader.js';
import { isNeverSent } from './isNeverSent.js';
import { selectAnswerHeaders } from './selectAnswerHeaders.js';
import type { TargetClient } from './targetClient.js';
import type { TargetEvent } from './targetEvent.js';

const CONNECT_TIMEOUT_MS = 2_000;
const NO_TIMEOUT = 0;
const NOT_FOUND = 404;
const SPARE_CONNECTIONS = 16;

type Options = Pick<Dispatcher.RequestOptions, 'path' | 'method' | 'headers' | 'body'>;

const toOptions = (requestId: RequestId, call: TargetCall): Options => ({
  path: call.path,
  method: call.method,
  headers: {
    ...call.headers,
    'x-request-id': requestId,
    ...(call.fencingOffset === undefined ? {} : { 'x-fencing-offset': String(call.fencingOffset) }),
  },
  body: call.body.length === 0 ? null : call.body,
});

const toResumeOptions = (requestId: RequestId, fromByte: number): Options => ({
  path: `/v1/requests/${encodeURIComponent(requestId)}/stream?from=${fromByte}`,
  method: 'GET',
});

/** Creates the client of a target at `ip:port`: no redirects, no retries, no bound but the caller's deadline. */
export const createTargetClient = ({
  address,
  kind,
  maximumRequests,
  onEvent,
}: {
  readonly address: string;
  readonly kind: 'engine' | 'service';
  readonly maximumRequests: number;
  readonly onEvent: (event: TargetEvent) => void;
}): TargetClient => {
  const pool = new Pool(`http://${address}`, {
    connections: maximumRequests + SPARE_CONNECTIONS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: NO_TIMEOUT,
    bodyTimeout: NO_TIMEOUT,
  });
  const running = new Map<GrantId, AbortController>();

  const relay = async (grantId: GrantId, answer: Dispatcher.ResponseData): Promise<void> => {
    const headers = selectAnswerHeaders(answer.headers);
    onEvent({ type: 'targetHead', grantId, status: answer.statusCode, headers });
    const reader = createUsageReader(headers['content-type'] ?? '');
    for await (const chunk of answer.body) {
      const bytes = chunk as Uint8Array;
      onEvent({ type: 'targetBytes', grantId, bytes, tokens: reader.take(bytes) });
    }
    onEvent({ type: 'targetEnd', grantId, ...reader.getUsage() });
  };

  const run = async (grantId: GrantId, options: Options, isResumed: boolean): Promise<void> => {
    const controller = new AbortController();
    running.set(grantId, controller);
    try {
      const answer = await pool.request({ ...options, signal: controller.signal });
      if (isResumed && answer.statusCode === NOT_FOUND) {
        await answer.body.dump();
        onEvent({ type: 'targetUnknown', grantId });
        return;
      }
      await relay(grantId, answer);
    } catch (error) {
      const outcome = !isResumed && isNeverSent(error) ? 'notRun' : 'unknown';
      onEvent({ type: 'targetFailed', grantId, outcome });
    } finally {
      if (running.get(grantId) === controller) {
        running.delete(grantId);
      }
    }
  };

  const cancelOnEngine = async (requestId: RequestId): Promise<void> => {
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    const answer = await pool.request({ path, method: 'DELETE' });
    await answer.body.dump();
  };

  const cancel = async (grantId: GrantId, requestId: RequestId): Promise<void> => {
    if (kind === 'engine') {
      await cancelOnEngine(requestId).catch(() => undefined);
    }
    running.get(grantId)?.abort();
  };

  return {
    call: (grantId, requestId, call) => {
      void run(grantId, toOptions(requestId, call), false);
    },
    resume: (grantId, requestId, fromByte) => {
      if (kind === 'service') {
        onEvent({ type: 'targetUnknown', grantId });
        return;
      }
      void run(grantId, toResumeOptions(requestId, fromByte), true);
    },
    cancel: (grantId, requestId) => {
      void cancel(grantId, requestId);
    },
    [Symbol.asyncDispose]: () => pool.destroy(),
  };
};
