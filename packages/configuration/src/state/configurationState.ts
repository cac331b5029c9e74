import type { HostName } from '@parsleyhall/common';
import type { ConfigurationDocument } from '../document/configurationDocument.js';

/** The configuration as folded from the log up to an accepted record. */
export interface ConfigurationState {
  /** Log offset of the last accepted record; 0 while there is none. Only grows. */
  readonly version: number;
  readonly document: ConfigurationDocument | undefined;
  /** Name of the one preset in force. */
  readonly presetInForce: string | undefined;
  readonly drainedHosts: readonly HostName[];
  /** Publication ids lately accepted, newest last, so that a repeat after a lost answer is recognised. */
  readonly recentPublications: readonly string[];
}
