import type { PlatformFailure } from '../http/platformFailure.js';

/** Why an append or a read failed. */
export type LogFailure =
  | PlatformFailure
  /** The requested records were trimmed because their retention time has passed. */
  | { readonly type: 'trimmed'; readonly earliestOffset: number };
