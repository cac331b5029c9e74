import { H3, type H3Event } from 'h3/node';
import { z } from 'zod';
import { newJsonResponse } from '../server/newJsonResponse.js';
import { readBody } from '../server/readBody.js';
import type { StandIn } from '../server/standIn.js';
import { startStandIn } from '../server/startStandIn.js';
import { waitMs } from '../server/waitMs.js';
import { getExpectedServiceAnswer } from './getExpectedServiceAnswer.js';
import { serviceSettingsSchema } from './serviceSettingsSchema.js';

const STALL_POLL_MS = 20;

const controlSchema = z.object({
  delayMs: z.number().min(0).optional(),
  stalled: z.boolean().optional(),
});

const countUp = (counts: Map<string, number>, key: string | null): void => {
  if (key !== null) {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
};

/** Starts a plain service that echoes what it was asked and counts every run. */
export const startServiceStandIn = async (
  input: z.input<typeof serviceSettingsSchema> = {},
): Promise<StandIn> => {
  const settings = serviceSettingsSchema.parse(input);
  const control = { delayMs: settings.delayMs, stalled: false };
  const runsByKey = new Map<string, number>();
  const runsByRequest = new Map<string, number>();
  let highestFencing = 0;

  const isFenced = (event: H3Event): boolean => {
    const fencing = Number(event.req.headers.get('x-fencing-offset') ?? highestFencing);
    const isOld = fencing < highestFencing;
    highestFencing = Math.max(highestFencing, fencing);
    return isOld && settings.checksFencing;
  };

  const run = async (event: H3Event): Promise<Response> => {
    const body = await event.req.text();
    if (isFenced(event)) {
      return newJsonResponse(409, { highestFencing });
    }
    countUp(runsByKey, event.req.headers.get('idempotency-key'));
    countUp(runsByRequest, event.req.headers.get('x-request-id'));
    await waitMs(control.delayMs);
    while (control.stalled) {
      await waitMs(STALL_POLL_MS);
    }
    const path = event.url.pathname + event.url.search;
    const answer = getExpectedServiceAnswer({ method: event.req.method, path, body });
    return new Response(answer, { headers: { 'content-type': 'application/json' } });
  };

  const app = new H3();
  app.get('/control/runs', () =>
    newJsonResponse(200, {
      byKey: Object.fromEntries(runsByKey),
      byRequest: Object.fromEntries(runsByRequest),
    }),
  );
  app.put('/control', async (event) => {
    Object.assign(control, await readBody(event, controlSchema));
    return newJsonResponse(200, control);
  });
  app.all('/**', run);
  return startStandIn(app, settings.port);
};
