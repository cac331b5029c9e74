import type { Deployment } from '../workload/deployment.js';
import { BUREAU } from '../workload/bureau.js';
import { NILEGATE } from '../workload/nilegate.js';

const SHARED = {
  dataCentres: ['maadi', 'ebene'],
  enginePool: 'language',
  servicePool: 'actions',
  engineSpeeds: [0.7, 1, 1.8],
  services: 1,
} as const;

const withoutHangUps = (deployment: Deployment): Deployment => ({
  ...deployment,
  ...SHARED,
  kinds: deployment.kinds.map((kind) => ({ ...kind, hangUpShare: 0 })),
});

/** Both deployments' kinds of work on one small set of targets. */
export const DEMO_DEPLOYMENTS: readonly Deployment[] = [NILEGATE, BUREAU].map(withoutHangUps);
