import { callJson } from '../cluster/callJson.js';
import type { Cluster } from '../cluster/cluster.js';
import { readEngineStats } from './readEngineStats.js';
import type { RunRecord } from './runRecord.js';

interface ServiceRuns {
  readonly byKey: Readonly<Record<string, number>>;
}

const addRuns = (
  total: Readonly<Record<string, number>>,
  byKey: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> =>
  Object.entries(byKey).reduce<Record<string, number>>(
    (sum, [key, runs]) => ({ ...sum, [key]: (sum[key] ?? 0) + runs }),
    { ...total },
  );

/** Reads the counters of all targets of a cluster after a run. */
export const readRunRecord = async (
  cluster: Cluster,
  run: Pick<RunRecord, 'outcomes' | 'idleShare' | 'timeScale'>,
): Promise<RunRecord> => {
  const targets = cluster.getTargets();
  const engines = await readEngineStats(cluster);
  const services = await Promise.all(
    targets
      .filter(({ kind }) => kind === 'service')
      .map(({ standIn }) => callJson(standIn, '/control/runs') as Promise<ServiceRuns>),
  );
  return {
    ...run,
    engines,
    serviceRunsByKey: services.reduce<Readonly<Record<string, number>>>(
      (total, { byKey }) => addRuns(total, byKey),
      {},
    ),
  };
};
