import type { ServicePace } from './servicePace.js';

/** What is assumed before the first answer ends. */
export const newServicePace = (): ServicePace => ({
  firstMs: 20,
  prefillMsPerToken: 0.02,
  outputMsPerToken: 4,
  runMs: 100,
});
