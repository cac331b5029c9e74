import { H3, type H3Event } from 'h3/node';
import { z } from 'zod';
import { createJsonResponse } from '../server/createJsonResponse.js';
import { readJsonBody } from '../server/readJsonBody.js';
import type { StandIn } from '../server/standIn.js';
import { startStandIn } from '../server/startStandIn.js';
import { ResponseBodyBuffer } from './responseBodyBuffer.js';
import type { AnswerDescription } from './answerDescription.js';
import { CacheEventFeed } from './cacheEventFeed.js';
import { computePrefixFingerprints } from './computePrefixFingerprints.js';
import { countTokens } from './countTokens.js';
import { EngineBatch } from './engineBatch.js';
import { engineSettingsSchema } from './engineSettingsSchema.js';
import { createResponseFormatter } from './createResponseFormatter.js';
import { LoadReporter } from './loadReporter.js';
import { ModelOrders } from './modelOrders.js';
import { PrefixCache } from './prefixCache.js';
import { readCompletionRequest } from './readCompletionRequest.js';

const controlSchema = z.object({
  speedFactor: z.number().positive().optional(),
  stalled: z.boolean().optional(),
});

const getRequestIdParameter = (event: H3Event): string =>
  decodeURIComponent(event.context.params?.id ?? '');

const createStreamResponse = (responseBody: ResponseBodyBuffer, fromByte: number): Response =>
  new Response(responseBody.createStream(fromByte), {
    headers: { 'content-type': responseBody.contentType },
  });

/**
 * Starts the model engine stand-in. It simulates continuous batching and a prefix cache, and lets
 * clients resume a response or cancel a request by request id.
 */
export const startEngineStandIn = async (
  input: z.input<typeof engineSettingsSchema> = {},
): Promise<StandIn> => {
  const settings = engineSettingsSchema.parse(input);
  const cacheEventFeed = new CacheEventFeed({
    seed: settings.seed,
    lagMs: settings.cacheEventLagMs,
    gapShare: settings.cacheEventGapShare,
  });
  const cache = new PrefixCache({
    budgetTokens: settings.cacheTokens,
    onChange: (fingerprint, isEvicted) => {
      cacheEventFeed.publish(fingerprint, isEvicted);
    },
  });
  const batch = new EngineBatch(settings, cache);
  const modelOrders = new ModelOrders(settings);
  const loadReporter = new LoadReporter(settings.loadLagMs, () => ({
    runningRequests: batch.runningRequests,
    waitingRequests: batch.waitingRequests,
    keyValueUsedShare: batch.keyValueUsedShare,
  }));
  const responseBodies = new Map<string, ResponseBodyBuffer>();
  let receivedRequests = 0;

  const deleteExpiredResponses = (): void => {
    const oldestMs = Date.now() - settings.answerRetentionMs;
    for (const [id, responseBody] of responseBodies) {
      if (responseBody.endedAtMs !== undefined && responseBody.endedAtMs < oldestMs) {
        responseBodies.delete(id);
      }
    }
  };
  const expiryTimer = setInterval(deleteExpiredResponses, settings.answerRetentionMs);

  const getRequestId = (event: H3Event): string => {
    receivedRequests += 1;
    return event.req.headers.get('x-request-id') ?? `unnamed-${receivedRequests}`;
  };

  const complete = async (
    event: H3Event,
    endpoint: AnswerDescription['endpoint'],
  ): Promise<Response> => {
    const request = readCompletionRequest(endpoint, await event.req.text());
    if (request === undefined) {
      return createJsonResponse(400, { error: { message: 'malformed request' } });
    }
    if (!modelOrders.hasModel(request.model)) {
      return createJsonResponse(404, { error: { message: 'unknown model' } });
    }
    const requestId = getRequestId(event);
    const formatter = createResponseFormatter({ ...request, requestId });
    const responseBody = new ResponseBodyBuffer(formatter.contentType);
    responseBodies.set(requestId, responseBody);
    batch.submit({
      requestId,
      label: request.label ?? requestId,
      promptTokens: countTokens(request.prompt),
      answerTokens: request.answerTokens,
      fingerprints: computePrefixFingerprints(request.prompt),
      responseBody,
      formatToken: formatter.formatToken,
      formatEnd: formatter.formatEnd,
      cachedTokens: 0,
      prefillTokensLeft: countTokens(request.prompt),
      tokensDone: 0,
    });
    return createStreamResponse(responseBody, 0);
  };

  const resume = (event: H3Event): Response => {
    const responseBody = responseBodies.get(getRequestIdParameter(event));
    const fromByte = Number(event.url.searchParams.get('from') ?? 0);
    return responseBody === undefined
      ? createJsonResponse(404, { error: { message: 'unknown request' } })
      : createStreamResponse(responseBody, fromByte);
  };

  const cancel = (event: H3Event): Response => {
    batch.cancel(getRequestIdParameter(event));
    return new Response(null, { status: 204 });
  };

  const executeOrder = async (event: H3Event): Promise<Response> => {
    const isAccepted = modelOrders.execute(await readJsonBody(event, ModelOrders.schema));
    return isAccepted
      ? createJsonResponse(200, {})
      : createJsonResponse(409, { highestFencing: modelOrders.highestFencingToken });
  };

  const updateControl = async (event: H3Event): Promise<Response> => {
    const { speedFactor, stalled } = await readJsonBody(event, controlSchema);
    batch.speedFactor = speedFactor ?? batch.speedFactor;
    if (stalled !== undefined) {
      batch.setStalled(stalled);
    }
    return createJsonResponse(200, {});
  };

  const readCacheEvents = (event: H3Event): Response =>
    createJsonResponse(200, cacheEventFeed.read(Number(event.url.searchParams.get('from') ?? 0)));

  const app = new H3();
  app.post('/v1/chat/completions', (event) => complete(event, 'chat'));
  app.post('/v1/completions', (event) => complete(event, 'completion'));
  app.get('/v1/requests/:id/stream', resume);
  app.delete('/v1/requests/:id', cancel);
  app.get('/v1/load', () => createJsonResponse(200, loadReporter.read()));
  app.get('/v1/cache-events', readCacheEvents);
  app.post('/v1/orders', executeOrder);
  app.put('/control', updateControl);
  app.get('/control/stats', () => createJsonResponse(200, batch.counters.read()));
  const server = await startStandIn(app, settings.port);
  return {
    address: server.address,
    [Symbol.asyncDispose]: async () => {
      batch.close();
      loadReporter[Symbol.dispose]();
      clearInterval(expiryTimer);
      await server[Symbol.asyncDispose]();
    },
  };
};
