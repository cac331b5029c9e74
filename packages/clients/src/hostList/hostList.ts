import type { ListedProcess } from './listedProcess.js';

/** The platform's list of processes at a past point in time. */
export interface HostList {
  /** Time of the list on the platform's wall clock, in milliseconds. */
  readonly asOfMs: number;
  readonly hosts: readonly ListedProcess[];
}
