import { H3, type H3Event } from 'h3/node';
import { z } from 'zod';
import { createJsonResponse } from '../server/createJsonResponse.js';
import { readJsonBody } from '../server/readJsonBody.js';
import type { StandIn } from '../server/standIn.js';
import { startStandIn } from '../server/startStandIn.js';
import { listedRecordSchema } from './listedRecordSchema.js';
import { listSettingsSchema } from './listSettingsSchema.js';

type ListedRecord = z.infer<typeof listedRecordSchema>;

/** Content of the list from a change until the next one. */
interface ListSnapshot {
  readonly changedAtMs: number;
  readonly processes: ReadonlyMap<string, ListedRecord>;
}

const controlSchema = z.object({
  lagMs: z.number().min(0).optional(),
  outage: z.boolean().optional(),
});

const getProcessName = (event: H3Event): string =>
  decodeURIComponent(event.context.params?.process ?? '');

/** Starts the host list stand-in. It serves the list as it was `lagMs` milliseconds ago. */
export const startListStandIn = async (
  input: z.input<typeof listSettingsSchema> = {},
): Promise<StandIn> => {
  const settings = listSettingsSchema.parse(input);
  const control = { lagMs: settings.lagMs, outage: false };
  const initial = new Map(settings.hosts.map((record) => [record.process, record]));
  const snapshots: ListSnapshot[] = [{ changedAtMs: Number.NEGATIVE_INFINITY, processes: initial }];

  const getLatest = (): ReadonlyMap<string, ListedRecord> => snapshots.at(-1)?.processes ?? initial;

  const readHosts = (): Response => {
    if (control.outage) {
      return createJsonResponse(503, { error: 'outage' });
    }
    const asOfMs = Date.now() - control.lagMs;
    const visible =
      snapshots.findLast(({ changedAtMs }) => changedAtMs <= asOfMs)?.processes ?? initial;
    return createJsonResponse(200, { asOfMs, hosts: [...visible.values()] });
  };

  const putProcess = async (event: H3Event): Promise<Response> => {
    const record = await readJsonBody(event, listedRecordSchema);
    const processes = new Map(getLatest()).set(getProcessName(event), record);
    snapshots.push({ changedAtMs: Date.now(), processes });
    return createJsonResponse(200, record);
  };

  const removeProcess = (event: H3Event): Response => {
    const processes = new Map(getLatest());
    processes.delete(getProcessName(event));
    snapshots.push({ changedAtMs: Date.now(), processes });
    return createJsonResponse(200, {});
  };

  const updateControl = async (event: H3Event): Promise<Response> => {
    Object.assign(control, await readJsonBody(event, controlSchema));
    return createJsonResponse(200, control);
  };

  const app = new H3();
  app.get('/v1/hosts', readHosts);
  app.put('/control/hosts/:process', putProcess);
  app.delete('/control/hosts/:process', removeProcess);
  app.put('/control', updateControl);
  return startStandIn(app, settings.port);
};
