import type { Cluster } from '../cluster/cluster.js';
import { getIdleShare } from '../report/getIdleShare.js';
import { readEngineStats } from '../report/readEngineStats.js';
import { readRunRecord } from '../report/readRunRecord.js';
import type { RunRecord } from '../report/runRecord.js';
import type { PlannedCall } from './plannedCall.js';
import { runSchedule } from './runSchedule.js';

/** Runs a schedule against a cluster's entries and reads what the targets saw of it. */
export const runMeasuredSchedule = async (
  cluster: Cluster,
  calls: readonly PlannedCall[],
  timeScale: number,
): Promise<RunRecord> => {
  const before = await readEngineStats(cluster);
  let idleShare = 0;
  const entries = cluster.entries.map(({ callers }) => callers);
  const outcomes = await runSchedule(entries, calls, async () => {
    idleShare = getIdleShare(before, await readEngineStats(cluster));
  });
  return readRunRecord(cluster, { outcomes, idleShare, timeScale });
};
