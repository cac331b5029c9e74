import type { EngineStats } from '@parsleyhall/stand-ins';
import { callJson } from '../cluster/callJson.js';
import type { Cluster } from '../cluster/cluster.js';

/** Counters of all engines of a cluster since their start. */
export const readEngineStats = async (cluster: Cluster): Promise<readonly EngineStats[]> =>
  Promise.all(
    cluster
      .getTargets()
      .filter(({ kind }) => kind === 'engine')
      .map(({ standIn }) => callJson(standIn, '/control/stats') as Promise<EngineStats>),
  );
