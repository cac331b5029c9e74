import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { getScript } from '../cluster/getScript.js';
import type { ProcessGroup } from '../cluster/processGroup.js';
import type { RunningProcess } from '../cluster/runningProcess.js';
import { newMeasuredDocument } from './newMeasuredDocument.js';

const FREE_PORT = '127.0.0.1:0';

const SCRIPTS = {
  on: getScript('@parsleyhall/daemon', 'main.js'),
  off: getScript('@parsleyhall/bench', 'lines/silentRouterMain.js'),
} as const;

/** Starts a router by itself in front of a target, with its lines on or off. */
export const startMeasuredRouter = async (
  group: ProcessGroup,
  name: keyof typeof SCRIPTS,
  targetAddress: string,
): Promise<RunningProcess> => {
  const routing = join(group.folder, `${name}-routing.json`);
  const settings = {
    process: name,
    host: name,
    dataCentre: 'here',
    routing,
    callersAddress: FREE_PORT,
    readinessAddress: FREE_PORT,
    metricsAddress: FREE_PORT,
    peers: { ip: '127.0.0.1', port: 0 },
  };
  const file = join(group.folder, `${name}.json`);
  await writeFile(routing, JSON.stringify(newMeasuredDocument(targetAddress)));
  await writeFile(file, JSON.stringify(settings));
  return group.start(name, SCRIPTS[name], ['router', '--settings', file]);
};
