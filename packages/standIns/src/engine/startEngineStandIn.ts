import { H3, type H3Event } from 'h3/node';
import { z } from 'zod';
import { newJsonResponse } from '../server/newJsonResponse.js';
import { readBody } from '../server/readBody.js';
import type { StandIn } from '../server/standIn.js';
import { startStandIn } from '../server/startStandIn.js';
import { AnswerBuffer } from './answerBuffer.js';
import type { AnswerDescription } from './answerDescription.js';
import { CacheEventFeed } from './cacheEventFeed.js';
import { computePrefixFingerprints } from './computePrefixFingerprints.js';
import { countTokens } from './countTokens.js';
import { EngineBatch } from './engineBatch.js';
import { engineSettingsSchema } from './engineSettingsSchema.js';
import { formatAnswer } from './formatAnswer.js';
import { LoadReporter } from './loadReporter.js';
import { ModelOrders } from './modelOrders.js';
import { PrefixCache } from './prefixCache.js';
import { readCompletionCall } from './readCompletionCall.js';

const controlSchema = z.object({
  speedFactor: z.number().positive().optional(),
  stalled: z.boolean().optional(),
});

const getId = (event: H3Event): string => decodeURIComponent(event.context.params?.id ?? '');

const newAnswerResponse = (answer: AnswerBuffer, from: number): Response =>
  new Response(answer.stream(from), { headers: { 'content-type': answer.contentType } });

/** Starts a model engine: continuous batching, a prefix cache, resume and cancel by request id. */
export const startEngineStandIn = async (
  input: z.input<typeof engineSettingsSchema> = {},
): Promise<StandIn> => {
  const settings = engineSettingsSchema.parse(input);
  const feed = new CacheEventFeed({
    seed: settings.seed,
    lagMs: settings.cacheEventLagMs,
    gapShare: settings.cacheEventGapShare,
  });
  const cache = new PrefixCache({
    budgetTokens: settings.cacheTokens,
    onChange: (fingerprint, isEvicted) => {
      feed.publish(fingerprint, isEvicted);
    },
  });
  const batch = new EngineBatch(settings, cache);
  const orders = new ModelOrders(settings);
  const reporter = new LoadReporter(settings.loadLagMs, () => ({
    runningRequests: batch.runningRequests,
    waitingRequests: batch.waitingRequests,
    keyValueUsedShare: batch.keyValueUsedShare,
  }));
  const answers = new Map<string, AnswerBuffer>();
  let unnamedRequests = 0;

  const forgetOldAnswers = (): void => {
    const oldestMs = Date.now() - settings.answerRetentionMs;
    for (const [id, answer] of answers) {
      if (answer.endedAtMs !== undefined && answer.endedAtMs < oldestMs) {
        answers.delete(id);
      }
    }
  };
  const forgetting = setInterval(forgetOldAnswers, settings.answerRetentionMs);

  const getRequestId = (event: H3Event): string => {
    unnamedRequests += 1;
    return event.req.headers.get('x-request-id') ?? `unnamed-${unnamedRequests}`;
  };

  const complete = async (
    event: H3Event,
    endpoint: AnswerDescription['endpoint'],
  ): Promise<Response> => {
    const call = readCompletionCall(endpoint, await event.req.text());
    if (call === undefined) {
      return newJsonResponse(400, { error: { message: 'malformed request' } });
    }
    if (!orders.hasModel(call.model)) {
      return newJsonResponse(404, { error: { message: 'unknown model' } });
    }
    const requestId = getRequestId(event);
    const format = formatAnswer({ ...call, requestId });
    const answer = new AnswerBuffer(format.contentType);
    answers.set(requestId, answer);
    batch.submit({
      requestId,
      label: call.label ?? requestId,
      promptTokens: countTokens(call.prompt),
      answerTokens: call.answerTokens,
      fingerprints: computePrefixFingerprints(call.prompt),
      answer,
      formatToken: format.formatToken,
      formatEnd: format.formatEnd,
      cachedTokens: 0,
      prefillTokensLeft: countTokens(call.prompt),
      tokensDone: 0,
    });
    return newAnswerResponse(answer, 0);
  };

  const resume = (event: H3Event): Response => {
    const answer = answers.get(getId(event));
    const from = Number(event.url.searchParams.get('from') ?? 0);
    return answer === undefined
      ? newJsonResponse(404, { error: { message: 'unknown request' } })
      : newAnswerResponse(answer, from);
  };

  const cancel = (event: H3Event): Response => {
    batch.cancel(getId(event));
    return new Response(null, { status: 204 });
  };

  const obey = async (event: H3Event): Promise<Response> => {
    const isObeyed = orders.obey(await readBody(event, ModelOrders.schema));
    return isObeyed
      ? newJsonResponse(200, {})
      : newJsonResponse(409, { highestFencing: orders.highestFencing });
  };

  const updateControl = async (event: H3Event): Promise<Response> => {
    const { speedFactor, stalled } = await readBody(event, controlSchema);
    batch.speedFactor = speedFactor ?? batch.speedFactor;
    if (stalled !== undefined) {
      batch.setStalled(stalled);
    }
    return newJsonResponse(200, {});
  };

  const readCacheEvents = (event: H3Event): Response =>
    newJsonResponse(200, feed.read(Number(event.url.searchParams.get('from') ?? 0)));

  const app = new H3();
  app.post('/v1/chat/completions', (event) => complete(event, 'chat'));
  app.post('/v1/completions', (event) => complete(event, 'completion'));
  app.get('/v1/requests/:id/stream', resume);
  app.delete('/v1/requests/:id', cancel);
  app.get('/v1/load', () => newJsonResponse(200, reporter.read()));
  app.get('/v1/cache-events', readCacheEvents);
  app.post('/v1/orders', obey);
  app.put('/control', updateControl);
  app.get('/control/stats', () => newJsonResponse(200, batch.counters.read()));
  const server = await startStandIn(app, settings.port);
  return {
    address: server.address,
    [Symbol.asyncDispose]: async () => {
      batch.close();
      reporter[Symbol.dispose]();
      clearInterval(forgetting);
      await server[Symbol.asyncDispose]();
    },
  };
};
