import type { Cluster } from '../cluster/cluster.js';
import type { ProcessCost } from './processCost.js';
import { readUsage } from './readUsage.js';

const readOne = async (
  process: string,
  role: ProcessCost['role'],
  address: string,
): Promise<readonly ProcessCost[]> => {
  try {
    return [{ process, role, ...(await readUsage(address)) }];
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
