import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import type { GrantId, RequestId } from '@parsleyhall/common';
import type { TargetCall } from '@parsleyhall/protocol';
import { createUsageReader } from './createUsageReader.js';
import { isConnectFailure } from './isConnectFailure.js';
import { selectResponseHeaders } from './selectResponseHeaders.js';
import type { TargetClient } from './targetClient.js';
import type { TargetEvent } from './targetEvent.js';

const CONNECT_TIMEOUT_MS = 2_000;
const NO_TIMEOUT = 0;
const NOT_FOUND_STATUS = 404;
const SPARE_CONNECTIONS = 16;

type CallOptions = Pick<Dispatcher.RequestOptions, 'path' | 'method' | 'headers' | 'body'>;

const toCallOptions = (requestId: RequestId, call: TargetCall): CallOptions => ({
  path: call.path,
  method: call.method,
  headers: {
    ...call.headers,
    'x-request-id': requestId,
    ...(call.fencingOffset === undefined ? {} : { 'x-fencing-offset': String(call.fencingOffset) }),
  },
  body: call.body.length === 0 ? null : call.body,
});

const toResumeOptions = (requestId: RequestId, fromByte: number): CallOptions => ({
  path: `/v1/requests/${encodeURIComponent(requestId)}/stream?from=${fromByte}`,
  method: 'GET',
});

/**
 * Creates the client of a target at `ip:port`. It follows no redirects and makes no retries, and once it is connected
 * only the caller's deadline limits a call.
 */
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
  const runningCalls = new Map<GrantId, AbortController>();

  const relayResponse = async (
    grantId: GrantId,
    response: Dispatcher.ResponseData,
  ): Promise<void> => {
    const headers = selectResponseHeaders(response.headers);
    onEvent({ type: 'targetHead', grantId, status: response.statusCode, headers });
    const usageReader = createUsageReader(headers['content-type'] ?? '');
    for await (const chunk of response.body) {
      const bytes = chunk as Uint8Array;
      onEvent({ type: 'targetBytes', grantId, bytes, tokens: usageReader.feed(bytes) });
    }
    onEvent({ type: 'targetEnd', grantId, ...usageReader.getUsage() });
  };

  const runCall = async (
    grantId: GrantId,
    options: CallOptions,
    isResumed: boolean,
  ): Promise<void> => {
    const controller = new AbortController();
    runningCalls.set(grantId, controller);
    try {
      const response = await pool.request({ ...options, signal: controller.signal });
      if (isResumed && response.statusCode === NOT_FOUND_STATUS) {
        await response.body.dump();
        onEvent({ type: 'targetUnknown', grantId });
        return;
      }
      await relayResponse(grantId, response);
    } catch (error) {
      const outcome = !isResumed && isConnectFailure(error) ? 'notRun' : 'unknown';
      onEvent({ type: 'targetFailed', grantId, outcome });
    } finally {
      if (runningCalls.get(grantId) === controller) {
        runningCalls.delete(grantId);
      }
    }
  };

  const cancelOnEngine = async (requestId: RequestId): Promise<void> => {
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    const response = await pool.request({ path, method: 'DELETE' });
    await response.body.dump();
  };

  const cancel = async (grantId: GrantId, requestId: RequestId): Promise<void> => {
    if (kind === 'engine') {
      await cancelOnEngine(requestId).catch(() => undefined);
    }
    runningCalls.get(grantId)?.abort();
  };

  return {
    call: (grantId, requestId, call) => {
      void runCall(grantId, toCallOptions(requestId, call), false);
    },
    resume: (grantId, requestId, fromByte) => {
      if (kind === 'service') {
        onEvent({ type: 'targetUnknown', grantId });
        return;
      }
      void runCall(grantId, toResumeOptions(requestId, fromByte), true);
    },
    cancel: (grantId, requestId) => {
      void cancel(grantId, requestId);
    },
    [Symbol.asyncDispose]: () => pool.destroy(),
  };
};
