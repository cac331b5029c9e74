import { MS_PER_SECOND } from '@parsleyhall/common';
import type { Deployment } from './deployment.js';
import { drawWork } from './drawWork.js';
import { getWorkCostMs } from './getWorkCostMs.js';
import type { KindOfWork } from './kindOfWork.js';
import { Random } from './random.js';

const SAMPLES = 2_000;
const SAMPLE_SEED = 7;
/** Share of the rated capacity that engines reach on mixed work without pause; `saturation/main.ts` measures it. */
const REACHED_SHARE = 0.93;

/** Calls of a kind in an engine second at load 1, at which the engine pool is just full. */
export const getCallsPerSecond = (deployment: Deployment, kind: KindOfWork): number => {
  if (kind.work.type === 'service') {
    return kind.work.callsPerSecond;
  }
  const random = new Random(SAMPLE_SEED);
  const costs = Array.from({ length: SAMPLES }, () =>
    getWorkCostMs(drawWork(deployment, kind, random)),
  );
  const meanCostMs = costs.reduce((sum, cost) => sum + cost, 0) / SAMPLES;
  const capacity = deployment.engineSpeeds.reduce((sum, speed) => sum + speed, 0);
  return (kind.work.share * capacity * REACHED_SHARE * MS_PER_SECOND) / meanCostMs;
};
