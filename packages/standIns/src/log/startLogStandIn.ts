import { H3, type H3Event } from 'h3/node';
import { z } from 'zod';
import { MS_PER_SECOND } from '@parsleyhall/common';
import { dropConnection } from '../server/dropConnection.js';
import { newJsonResponse } from '../server/newJsonResponse.js';
import { readBody } from '../server/readBody.js';
import type { StandIn } from '../server/standIn.js';
import { startStandIn } from '../server/startStandIn.js';
import { waitMs } from '../server/waitMs.js';
import { logSettingsSchema } from './logSettingsSchema.js';
import { LogStream } from './logStream.js';

const MAXIMUM_PAGE_RECORDS = 1_000;
const STREAM_NAME = /^[a-z0-9-]+$/;

const appendSchema = z.object({ records: z.array(z.unknown()).min(1) });
const trimSchema = z.object({ stream: z.string(), before: z.number().int() });
const controlSchema = z.object({
  outage: z.boolean().optional(),
  delayMs: z.number().min(0).optional(),
  loseAnswers: z.number().int().min(0).optional(),
  retentionMs: z.number().positive().optional(),
});

const readNumber = (event: H3Event, name: string, fallback: number): number => {
  const value = Number(event.url.searchParams.get(name) ?? fallback);
  return Number.isFinite(value) ? value : fallback;
};

/** Starts the append-only log service; settings as in its schema. */
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
  let allowance = settings.appendsPerSecond;
  let refilledAtMs = performance.now();

  const getStream = (event: H3Event): LogStream => {
    const name = event.context.params?.stream ?? '';
    const known = streams.get(name);
    if (known !== undefined || !STREAM_NAME.test(name)) {
      return known ?? new LogStream();
    }
    const created = new LogStream();
    streams.set(name, created);
    return created;
  };

  const takeAllowance = (): boolean => {
    const nowMs = performance.now();
    const refill = ((nowMs - refilledAtMs) / MS_PER_SECOND) * settings.appendsPerSecond;
    allowance = Math.min(settings.appendsPerSecond, allowance + refill);
    refilledAtMs = nowMs;
    if (allowance < 1) {
      return false;
    }
    allowance -= 1;
    return true;
  };

  const isOut = (): boolean => control.outage;

  const append = async (event: H3Event): Promise<Response> => {
    const { records } = await readBody(event, appendSchema);
    await waitMs(control.delayMs);
    if (isOut()) {
      return newJsonResponse(503, { error: 'outage' });
    }
    if (!takeAllowance()) {
      return newJsonResponse(429, { error: 'append rate' }, { 'retry-after': '1' });
    }
    const stream = getStream(event);
    const firstOffset = stream.append(records);
    if (control.loseAnswers > 0) {
      control.loseAnswers -= 1;
      return dropConnection(event);
    }
    return newJsonResponse(200, { firstOffset, nextOffset: stream.endOffset });
  };

  const read = async (event: H3Event): Promise<Response> => {
    const stream = getStream(event);
    const from = Math.max(1, readNumber(event, 'from', 1));
    const limit = Math.min(MAXIMUM_PAGE_RECORDS, readNumber(event, 'limit', MAXIMUM_PAGE_RECORDS));
    const longPollMs = readNumber(event, 'waitMs', 0);
    await waitMs(control.delayMs);
    if (!isOut() && longPollMs > 0 && from >= stream.endOffset) {
      await stream.waitForAppend(longPollMs);
    }
    if (isOut()) {
      return newJsonResponse(503, { error: 'outage' });
    }
    stream.trimOlderThan(Date.now() - control.retentionMs);
    const { earliestOffset, endOffset } = stream;
    if (from < earliestOffset) {
      return newJsonResponse(410, { earliestOffset });
    }
    const records = stream.read(from, limit);
    const nextOffset = (records.at(-1)?.offset ?? from - 1) + 1;
    return newJsonResponse(200, { earliestOffset, nextOffset, endOffset, records });
  };

  const updateControl = async (event: H3Event): Promise<Response> => {
    Object.assign(control, await readBody(event, controlSchema));
    if (control.outage) {
      streams.forEach((stream) => {
        stream.wake();
      });
    }
    return newJsonResponse(200, control);
  };

  const trim = async (event: H3Event): Promise<Response> => {
    const { stream, before } = await readBody(event, trimSchema);
    streams.get(stream)?.trim(before);
    return newJsonResponse(200, {});
  };

  const getStats = (): Response => {
    const byStream = Object.fromEntries(
      [...streams].map(([name, stream]) => [
        name,
        { appends: stream.appends, records: stream.endOffset - 1 },
      ]),
    );
    const totals = Object.values(byStream);
    return newJsonResponse(200, {
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
