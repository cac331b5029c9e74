import type { Deployment } from '../workload/deployment.js';
import type { KindOfWork } from '../workload/kindOfWork.js';
import { BUREAU } from '../workload/bureau.js';
import { NILEGATE } from '../workload/nilegate.js';

const SHARED = {
  dataCentres: ['maadi', 'ebene'],
  enginePool: 'language',
  servicePool: 'actions',
  engineSpeeds: [0.7, 1, 1.8],
  services: 1,
} as const;

const streamUrgentWork = (kind: KindOfWork): KindOfWork => ({
  ...kind,
  hangUpShare: 0,
  work: kind.work.type === 'engine' ? { ...kind.work, isStreaming: kind.tier <= 2 } : kind.work,
});

const toDemo = (deployment: Deployment): Deployment => ({
  ...deployment,
  ...SHARED,
  kinds: deployment.kinds.map(streamUrgentWork),
});

/** Both deployments' kinds of work on one small set of targets. */
export const DEMO_DEPLOYMENTS: readonly Deployment[] = [NILEGATE, BUREAU].map(toDemo);
