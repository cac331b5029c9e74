import type { ClockReading } from './clockReading.js';

/** The platform held nothing newer than the latest configuration read, at that moment. */
export interface Confirmation {
  readonly confirmedAt: ClockReading;
  /** The newest version on a platform that all entries share; undefined if each entry has its own source. */
  readonly version?: number;
}
