import type { HostName } from '@parsleyhall/common';
import type { ConfigurationDocument } from '../document/configurationDocument.js';

/** The configuration that results from the accepted records of the log. */
export interface ConfigurationState {
  /** Log offset of the last accepted record, or 0 if there is none; never decreases. */
  readonly version: number;
  readonly document: ConfigurationDocument | undefined;
  /** Name of the preset in force. */
  readonly presetInForce: string | undefined;
  readonly drainedHosts: readonly HostName[];
  /** Ids of recently accepted publications, newest last; used to detect a retry after a lost response. */
  readonly recentPublications: readonly string[];
}
