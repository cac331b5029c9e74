import type { ClusterPlan } from '../cluster/clusterPlan.js';
import { getScript } from '../cluster/getScript.js';
import type { PolicyName } from '../policies/policyName.js';
import { getEngineSettings } from '../workload/getEngineSettings.js';
import type { MeasureOptions } from './measureOptions.js';

const SERVICE_DELAY_MS = 10;
const UNLIMITED_REQUESTS = 100_000;
const LOG_LEVEL = 'info';

/** The processes of a measured run of a deployment under a policy. */
export const newMeasurePlan = (options: MeasureOptions, policy: PolicyName): ClusterPlan => {
  const { deployment, timeScale } = options;
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
  // A policy without a window leaves no request to wait for a connection to its target.
  const sideDefaults =
    policy === 'late-binding' ? {} : { maximumWindowRequests: UNLIMITED_REQUESTS };
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
      arguments: [policy, options.without],
    },
    entrySettings: { logLevel: LOG_LEVEL, ...options.entrySettings },
    sideSettings: { logLevel: LOG_LEVEL, ...sideDefaults, ...options.sideSettings },
    logSettings: {},
  };
};
