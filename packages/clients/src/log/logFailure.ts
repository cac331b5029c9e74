import type { PlatformFailure } from '../http/platformFailure.js';

/** Why an append or a read gave no result. */
export type LogFailure =
  | PlatformFailure
  /** The records asked for are past their retention. */
  | { readonly type: 'trimmed'; readonly earliestOffset: number };
