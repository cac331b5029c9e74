export type { Violation } from './checks/violation.js';
export { findViolations } from './checks/findViolations.js';
export type { History } from './history/history.js';
export { runSoak } from './runSoak.js';
