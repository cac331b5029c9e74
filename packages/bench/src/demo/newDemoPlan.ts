import type { ClusterPlan } from '../cluster/clusterPlan.js';
import { getScript } from '../cluster/getScript.js';
import type { Deployment } from '../workload/deployment.js';
import { getEngineSettings } from '../workload/getEngineSettings.js';

/** The processes of the demo: three engines of unlike speed, one plain service and two entries. */
export const newDemoPlan = (deployments: readonly Deployment[]): ClusterPlan => {
  const [first] = deployments;
  const models = deployments.map(({ model }) => model);
  const dataCentres = first?.dataCentres ?? [];
  const getDataCentre = (place: number): string => dataCentres[place % dataCentres.length] ?? '';
  const engines = (first?.engineSpeeds ?? []).map((speedFactor, place) => ({
    process: `side-engine-${place + 1}`,
    host: `engine-host-${place + 1}`,
    dataCentre: getDataCentre(place),
    pool: first?.enginePool ?? '',
    kind: 'engine' as const,
    models,
    standIn: getEngineSettings({ models, speedFactor, timeScale: 1, seed: place + 1 }),
  }));
  const service = {
    process: 'side-service-1',
    host: 'service-host-1',
    dataCentre: getDataCentre(0),
    pool: first?.servicePool ?? '',
    kind: 'service' as const,
    models: [],
    standIn: { delayMs: 20 },
  };
  return {
    entries: dataCentres.map((dataCentre, place) => ({
      process: `entry-${place + 1}`,
      host: `entry-host-${place + 1}`,
      dataCentre,
    })),
    targets: [...engines, service],
    sharesTargetProcesses: false,
    dataCentreDelayMs: 0,
    callerDelayMs: 0,
    daemon: { script: getScript('@parsleyhall/daemon', 'main.js'), arguments: [] },
    entrySettings: {},
    sideSettings: {},
    logSettings: {},
  };
};
