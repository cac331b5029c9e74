import type { OutcomeCounts } from './outcomeCounts.js';
import type { RolloutOrder } from './rolloutOrder.js';
import type { RolloutReason } from './rolloutReason.js';
import type { RolloutStage } from './rolloutStage.js';

/** The record of a service's latest roll-out that the entries keep in the store. */
export interface RolloutStatus {
  readonly order: RolloutOrder;
  readonly stage: RolloutStage;
  /** Increases with each record of the service, so that older records are recognized. */
  readonly step: number;
  /** When the roll-out started, in milliseconds since 1970 by the clock of its first writer. */
  readonly startedWallMs: number;
  /** Host of the entry that wrote the record. */
  readonly writer: string;
  readonly reason: RolloutReason;
  /** The version that was rolled back before this roll-out; its targets may still be listed and get nothing. */
  readonly rejectedVersion?: string;
  /** The versions of the old targets, '' for those without a version; absent in records of older entries. */
  readonly oldVersions?: readonly string[];
  /** The era of the store in which the record was first written; absent in records of older entries. */
  readonly writtenEra?: number;
  /** The responses of all entries that the writer knew of. */
  readonly counts: OutcomeCounts;
}
