import type { ListedProcess } from './listedProcess.js';

/** The platform's list as it stood at a time past. */
export interface HostList {
  /** Wall clock of the platform that the list is as of, in milliseconds. */
  readonly asOfMs: number;
  readonly hosts: readonly ListedProcess[];
}
