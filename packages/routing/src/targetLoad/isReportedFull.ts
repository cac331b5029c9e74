import type { ReportedLoad } from './reportedLoad.js';

/** Whether the report alone shows that the target has no room. */
export const isReportedFull = ({ running, waiting, slots }: ReportedLoad): boolean =>
  waiting > 0 || running >= slots;
