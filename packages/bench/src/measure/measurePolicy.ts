import { publishDocument } from '../cluster/publishDocument.js';
import { startCluster } from '../cluster/startCluster.js';
import type { PlannedCall } from '../load/plannedCall.js';
import { runMeasuredSchedule } from '../load/runMeasuredSchedule.js';
import type { PolicyName } from '../policies/policyName.js';
import { newRunReport } from '../report/newRunReport.js';
import { newDocument } from '../workload/newDocument.js';
import { readProcessCosts } from '../report/readProcessCosts.js';
import { injectFault } from './injectFault.js';
import type { MeasureOptions } from './measureOptions.js';
import { newMeasurePlan } from './newMeasurePlan.js';
import type { PolicyResult } from './policyResult.js';

/** Runs the arrivals under one policy on a cluster of its own. */
export const measurePolicy = async (
  options: MeasureOptions,
  policy: PolicyName,
  calls: readonly PlannedCall[],
): Promise<PolicyResult> => {
  const { deployment, timeScale, fault, durationMs } = options;
  const startedAtMs = performance.now();
  await using cluster = await startCluster(newMeasurePlan(options, policy));
  await publishDocument(cluster, newDocument([deployment], timeScale));
  const { engineSpeeds } = deployment;
  const [record, effect] = await Promise.all([
    runMeasuredSchedule(cluster, calls, timeScale),
    injectFault({ cluster, fault, durationMs, engineSpeeds }),
  ]);
  const processes = await readProcessCosts(cluster);
  return {
    policy,
    processes,
    report: newRunReport(record),
    workAfterDrain: await effect.countWorkAfterDrain?.(),
    elapsedMs: performance.now() - startedAtMs,
  };
};
