import type { ClusterPlan } from '../cluster/clusterPlan.js';
import { getScript } from '../cluster/getScript.js';
import type { PolicyName } from '../policies/policyName.js';
import type { Deployment } from '../workload/deployment.js';
import { getEngineSettings } from '../workload/getEngineSettings.js';

const SERVICE_DELAY_MS = 10;
const LOG_LEVEL = 'warn';

/** The processes of a measured run of a deployment under a policy. */
export const newMeasurePlan = (
  deployment: Deployment,
  policy: PolicyName,
  timeScale: number,
): ClusterPlan => {
  const { dataCentres } = deployment;
  const getDataCentre = (place: number): string => dataCentres[place % dataCentres.length] ?? '';
  const models = [deployment.model];
  const engines = deployment.engineSpeeds.map((speedFactor, place) => ({
    process: `side-engine-${place + 1}`,
    host: `engine-host-${place + 1}`,
    dataCentre: getDataCentre(place),
    pool: deployment.enginePool,
    kind: 'engine' as const,
    models,
    standIn: getEngineSettings({ models, speedFactor, timeScale, seed: place + 1 }),
  }));
  const services = Array.from({ length: deployment.services }, (_, place) => ({
    process: `side-service-${place + 1}`,
    host: `service-host-${place + 1}`,
    dataCentre: getDataCentre(place),
    pool: deployment.servicePool,
    kind: 'service' as const,
    models: [],
    standIn: { delayMs: SERVICE_DELAY_MS },
  }));
  return {
    entries: dataCentres.map((dataCentre, place) => ({
      process: `entry-${place + 1}`,
      host: `entry-host-${place + 1}`,
      dataCentre,
    })),
    targets: [...engines, ...services],
    sharesTargetProcesses: true,
    dataCentreDelayMs: deployment.dataCentreDelayMs,
    callerDelayMs: deployment.callerDelayMs,
    daemon: {
      script: getScript('@parsleyhall/bench', 'measure/daemonMain.js'),
      arguments: [policy],
    },
    entrySettings: { logLevel: LOG_LEVEL },
    sideSettings: { logLevel: LOG_LEVEL },
    logSettings: {},
  };
};
