import { request } from 'undici';
import type { Usage } from './usage.js';

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

/** Reads what a process has cost from its metrics. */
export const readUsage = async (address: string): Promise<Usage> => {
  const { body } = await request(`http://${address}/metrics`);
  const counters = readCounters(await body.text());
  return {
    cpuSeconds:
      findCounter(counters, 'process_user_cpu_seconds') +
      findCounter(counters, 'process_system_cpu_seconds'),
    residentBytes: findCounter(counters, 'process_resident_memory_bytes'),
    counters,
  };
};
