import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';
import type { Cluster } from './cluster.js';
import { runOperator } from './runOperator.js';
import { waitUntil } from './waitUntil.js';

const READY_ALLOWANCE_MS = 10_000;

/** Publishes a configuration by the operator's command and waits until every entry is ready. */
export const publishDocument = async (cluster: Cluster, document: unknown): Promise<void> => {
  const file = join(cluster.folder, 'configuration.json');
  await writeFile(file, JSON.stringify(document, null, 2));
  await runOperator(cluster, 'configuration', 'publish', file);
  for (const { process, callers } of cluster.entries) {
    await waitUntil(`${process} ready`, READY_ALLOWANCE_MS, async () => {
      const { statusCode, body } = await request(`http://${callers}/readyz`);
      await body.dump();
      return statusCode === 200;
    });
  }
};
