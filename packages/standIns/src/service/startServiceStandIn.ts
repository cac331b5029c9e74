import { H3, type H3Event } from 'h3/node';
import { z } from 'zod';
import { createJsonResponse } from '../server/createJsonResponse.js';
import { readJsonBody } from '../server/readJsonBody.js';
import type { StandIn } from '../server/standIn.js';
import { startStandIn } from '../server/startStandIn.js';
import { sleepFor } from '../server/sleepFor.js';
import { getExpectedServiceAnswer } from './getExpectedServiceAnswer.js';
import { serviceSettingsSchema } from './serviceSettingsSchema.js';

const STALL_CHECK_INTERVAL_MS = 20;

const controlSchema = z.object({
  delayMs: z.number().min(0).optional(),
  stalled: z.boolean().optional(),
});

const incrementCount = (counts: Map<string, number>, key: string | null): void => {
  if (key !== null) {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
};

/**
 * Starts the plain service stand-in. It echoes each request and counts its executions by
 * idempotency key and by request id.
 */
export const startServiceStandIn = async (
  input: z.input<typeof serviceSettingsSchema> = {},
): Promise<StandIn> => {
  const settings = serviceSettingsSchema.parse(input);
  const control = { delayMs: settings.delayMs, stalled: false };
  const runsByKey = new Map<string, number>();
  const runsByRequest = new Map<string, number>();
  let highestFencingToken = 0;

  /**
   * Records the fencing token of a request. Returns whether the request has to be refused as
   * stale.
   */
  const isRefusedByFencing = (event: H3Event): boolean => {
    const fencingToken = Number(event.req.headers.get('x-fencing-offset') ?? highestFencingToken);
    const isStale = fencingToken < highestFencingToken;
    highestFencingToken = Math.max(highestFencingToken, fencingToken);
    return isStale && settings.checksFencing;
  };

  const handleRequest = async (event: H3Event): Promise<Response> => {
    const body = await event.req.text();
    if (isRefusedByFencing(event)) {
      return createJsonResponse(409, { highestFencing: highestFencingToken });
    }
    incrementCount(runsByKey, event.req.headers.get('idempotency-key'));
    incrementCount(runsByRequest, event.req.headers.get('x-request-id'));
    await sleepFor(control.delayMs);
    while (control.stalled) {
      await sleepFor(STALL_CHECK_INTERVAL_MS);
    }
    const path = event.url.pathname + event.url.search;
    const responseBody = getExpectedServiceAnswer({ method: event.req.method, path, body });
    return new Response(responseBody, { headers: { 'content-type': 'application/json' } });
  };

  const app = new H3();
  app.get('/control/runs', () =>
    createJsonResponse(200, {
      byKey: Object.fromEntries(runsByKey),
      byRequest: Object.fromEntries(runsByRequest),
    }),
  );
  app.put('/control', async (event) => {
    Object.assign(control, await readJsonBody(event, controlSchema));
    return createJsonResponse(200, control);
  });
  app.all('/**', handleRequest);
  return startStandIn(app, settings.port);
};
