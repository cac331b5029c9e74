import { H3, type H3Event } from 'h3/node';
import { z } from 'zod';
import { MS_PER_SECOND } from '@parsleyhall/common';
import { dropConnection } from '../server/dropConnection.js';
import { createJsonResponse } from '../server/createJsonResponse.js';
import { readJsonBody } from '../server/readJsonBody.js';
import type { StandIn } from '../server/standIn.js';
import { startStandIn } from '../server/startStandIn.js';
import { sleepFor } from '../server/sleepFor.js';
import { logSettingsSchema } from './logSettingsSchema.js';
import { LogStream } from './logStream.js';

const MAX_PAGE_RECORDS = 1_000;
const STREAM_NAME_PATTERN = /^[a-z0-9-]+$/;

const appendSchema = z.object({ records: z.array(z.unknown()).min(1) });
const trimSchema = z.object({ stream: z.string(), before: z.number().int() });
const controlSchema = z.object({
  outage: z.boolean().optional(),
  delayMs: z.number().min(0).optional(),
  loseAnswers: z.number().int().min(0).optional(),
  retentionMs: z.number().positive().optional(),
});

const readNumberParameter = (event: H3Event, name: string, fallback: number): number => {
  const value = Number(event.url.searchParams.get(name) ?? fallback);
  return Number.isFinite(value) ? value : fallback;
};

/**
 * Starts the stand-in of the append-only log service. Its control endpoint simulates outages,
 * delays, a shorter retention and responses that are lost after the append took effect.
 */
export const startLogStandIn = async (
  input: z.input<typeof logSettingsSchema> = {},
): Promise<StandIn> => {
  const settings = logSettingsSchema.parse(input);
  const control = {
    outage: false,
    delayMs: settings.delayMs,
    loseAnswers: 0,
    retentionMs: settings.retentionMs,
  };
  const streams = new Map<string, LogStream>();
  let availableAppends = settings.appendsPerSecond;
  let refilledAtMs = performance.now();

  const getStream = (event: H3Event): LogStream => {
    const name = event.context.params?.stream ?? '';
    const existing = streams.get(name);
    if (existing !== undefined || !STREAM_NAME_PATTERN.test(name)) {
      return existing ?? new LogStream();
    }
    const created = new LogStream();
    streams.set(name, created);
    return created;
  };

  /**
   * Consumes one append of the token bucket that limits the append rate. Returns false when it is
   * empty.
   */
  const tryConsumeAppend = (): boolean => {
    const nowMs = performance.now();
    const refill = ((nowMs - refilledAtMs) / MS_PER_SECOND) * settings.appendsPerSecond;
    availableAppends = Math.min(settings.appendsPerSecond, availableAppends + refill);
    refilledAtMs = nowMs;
    if (availableAppends < 1) {
      return false;
    }
    availableAppends -= 1;
    return true;
  };

  const isUnavailable = (): boolean => control.outage;

  const append = async (event: H3Event): Promise<Response> => {
    const { records } = await readJsonBody(event, appendSchema);
    await sleepFor(control.delayMs);
    if (isUnavailable()) {
      return createJsonResponse(503, { error: 'outage' });
    }
    if (!tryConsumeAppend()) {
      return createJsonResponse(429, { error: 'append rate' }, { 'retry-after': '1' });
    }
    const stream = getStream(event);
    const firstOffset = stream.append(records);
    if (control.loseAnswers > 0) {
      control.loseAnswers -= 1;
      return dropConnection(event);
    }
    return createJsonResponse(200, { firstOffset, nextOffset: stream.endOffset });
  };

  const read = async (event: H3Event): Promise<Response> => {
    const stream = getStream(event);
    const fromOffset = Math.max(1, readNumberParameter(event, 'from', 1));
    const limit = Math.min(MAX_PAGE_RECORDS, readNumberParameter(event, 'limit', MAX_PAGE_RECORDS));
    const longPollMs = readNumberParameter(event, 'waitMs', 0);
    await sleepFor(control.delayMs);
    if (!isUnavailable() && longPollMs > 0 && fromOffset >= stream.endOffset) {
      await stream.waitForAppend(longPollMs);
    }
    if (isUnavailable()) {
      return createJsonResponse(503, { error: 'outage' });
    }
    stream.trimOlderThan(Date.now() - control.retentionMs);
    const { earliestOffset, endOffset } = stream;
    if (fromOffset < earliestOffset) {
      return createJsonResponse(410, { earliestOffset });
    }
    const records = stream.read(fromOffset, limit);
    const nextOffset = (records.at(-1)?.offset ?? fromOffset - 1) + 1;
    return createJsonResponse(200, { earliestOffset, nextOffset, endOffset, records });
  };

  const updateControl = async (event: H3Event): Promise<Response> => {
    Object.assign(control, await readJsonBody(event, controlSchema));
    if (control.outage) {
      streams.forEach((stream) => {
        stream.endLongPolls();
      });
    }
    return createJsonResponse(200, control);
  };

  const trim = async (event: H3Event): Promise<Response> => {
    const { stream, before } = await readJsonBody(event, trimSchema);
    streams.get(stream)?.trim(before);
    return createJsonResponse(200, {});
  };

  const getStats = (): Response => {
    const byStream = Object.fromEntries(
      [...streams].map(([name, stream]) => [
        name,
        { appends: stream.appends, records: stream.endOffset - 1 },
      ]),
    );
    const totals = Object.values(byStream);
    return createJsonResponse(200, {
      appends: totals.reduce((sum, { appends }) => sum + appends, 0),
      records: totals.reduce((sum, { records }) => sum + records, 0),
      streams: byStream,
    });
  };

  const app = new H3();
  app.post('/v1/streams/:stream/records', append);
  app.get('/v1/streams/:stream/records', read);
  app.put('/control', updateControl);
  app.post('/control/trim', trim);
  app.get('/control/stats', getStats);
  return startStandIn(app, settings.port);
};
