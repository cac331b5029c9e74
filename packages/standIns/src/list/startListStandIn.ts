import { H3, type H3Event } from 'h3/node';
import { z } from 'zod';
import { newJsonResponse } from '../server/newJsonResponse.js';
import { readBody } from '../server/readBody.js';
import type { StandIn } from '../server/standIn.js';
import { startStandIn } from '../server/startStandIn.js';
import { listedRecordSchema } from './listedRecordSchema.js';
import { listSettingsSchema } from './listSettingsSchema.js';

type ListedRecord = z.infer<typeof listedRecordSchema>;

interface Version {
  readonly atMs: number;
  readonly hosts: ReadonlyMap<string, ListedRecord>;
}

const controlSchema = z.object({
  lagMs: z.number().min(0).optional(),
  outage: z.boolean().optional(),
});

const getProcess = (event: H3Event): string =>
  decodeURIComponent(event.context.params?.process ?? '');

/** Starts the lagging list of hosts. */
export const startListStandIn = async (
  input: z.input<typeof listSettingsSchema> = {},
): Promise<StandIn> => {
  const settings = listSettingsSchema.parse(input);
  const control = { lagMs: settings.lagMs, outage: false };
  const initial = new Map(settings.hosts.map((record) => [record.process, record]));
  const versions: Version[] = [{ atMs: Number.NEGATIVE_INFINITY, hosts: initial }];

  const getLatest = (): ReadonlyMap<string, ListedRecord> => versions.at(-1)?.hosts ?? initial;

  const show = (): Response => {
    if (control.outage) {
      return newJsonResponse(503, { error: 'outage' });
    }
    const asOfMs = Date.now() - control.lagMs;
    const shown = versions.findLast(({ atMs }) => atMs <= asOfMs)?.hosts ?? initial;
    return newJsonResponse(200, { asOfMs, hosts: [...shown.values()] });
  };

  const put = async (event: H3Event): Promise<Response> => {
    const record = await readBody(event, listedRecordSchema);
    const hosts = new Map(getLatest()).set(getProcess(event), record);
    versions.push({ atMs: Date.now(), hosts });
    return newJsonResponse(200, record);
  };

  const remove = (event: H3Event): Response => {
    const hosts = new Map(getLatest());
    hosts.delete(getProcess(event));
    versions.push({ atMs: Date.now(), hosts });
    return newJsonResponse(200, {});
  };

  const updateControl = async (event: H3Event): Promise<Response> => {
    Object.assign(control, await readBody(event, controlSchema));
    return newJsonResponse(200, control);
  };

  const app = new H3();
  app.get('/v1/hosts', show);
  app.put('/control/hosts/:process', put);
  app.delete('/control/hosts/:process', remove);
  app.put('/control', updateControl);
  return startStandIn(app, settings.port);
};
