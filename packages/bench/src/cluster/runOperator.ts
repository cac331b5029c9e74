import { execFile } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { promisify } from 'node:util';
import type { Cluster } from './cluster.js';
import { getScript } from './getScript.js';

const run = promisify(execFile);

/** Runs a command of the operator's binary on a cluster and answers what it printed; throws when it fails. */
export const runOperator = async (
  cluster: Pick<Cluster, 'folder' | 'log' | 'lists'>,
  ...command: readonly string[]
): Promise<string> => {
  const settings = join(cluster.folder, 'operator.json');
  const addresses = {
    log: { address: cluster.log },
    hostList: { address: cluster.lists[0] ?? '' },
    operator: 'bench',
  };
  await writeFile(settings, JSON.stringify(addresses, null, 2));
  const script = getScript('@parsleyhall/operator', 'main.js');
  const { stdout } = await run(process.execPath, [script, ...command, '--settings', settings]);
  return stdout;
};
