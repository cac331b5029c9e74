import { request } from 'undici';
import type { Cluster } from '../cluster/cluster.js';
import type { ProcessCost } from './processCost.js';

const SERIES = /^([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{[^}]*\})? ([0-9.eE+-]+)$/;

const readCounters = (text: string): Readonly<Record<string, number>> => {
  const counters: Record<string, number> = {};
  for (const line of text.split('\n')) {
    const [, name, value] = SERIES.exec(line) ?? [];
    if (name !== undefined) {
      counters[name] = (counters[name] ?? 0) + Number(value);
    }
  }
  return counters;
};

const findCounter = (counters: Readonly<Record<string, number>>, ending: string): number =>
  Object.entries(counters).find(([name]) => name.endsWith(ending))?.[1] ?? 0;

const readOne = async (
  process: string,
  role: ProcessCost['role'],
  address: string,
): Promise<readonly ProcessCost[]> => {
  try {
    const { body } = await request(`http://${address}/metrics`);
    const counters = readCounters(await body.text());
    const cpuSeconds =
      findCounter(counters, 'process_user_cpu_seconds') +
      findCounter(counters, 'process_system_cpu_seconds');
    const residentBytes = findCounter(counters, 'process_resident_memory_bytes');
    return [{ process, role, cpuSeconds, residentBytes, counters }];
  } catch {
    return [];
  }
};

/** Reads what the entries and side processes of a cluster have cost; a killed process is left out. */
export const readProcessCosts = async (cluster: Cluster): Promise<readonly ProcessCost[]> => {
  const entries = cluster.entries.map((entry) => readOne(entry.process, 'entry', entry.operators));
  const sides = cluster
    .getTargets()
    .map((target) => readOne(target.process, 'side', target.operators));
  return (await Promise.all([...entries, ...sides])).flat();
};
