export type { Breach } from './checks/breach.js';
export { findBreaches } from './checks/findBreaches.js';
export type { History } from './history/history.js';
export { runSoak } from './runSoak.js';
