export type { Schedule } from './schedule/schedule.js';
export type { History } from './world/history.js';
export type { Violation } from './oracle/violation.js';
export { findViolations } from './findViolations.js';
export { judge } from './oracle/judge.js';
export { runWorld } from './world/runWorld.js';
