import type { HostName } from '@parsleyhall/common';
import type { ConfigurationDocument } from '../document/configurationDocument.js';
import type { ConfigurationState } from '../state/configurationState.js';

/** What every change of an operator carries. */
interface OperatorRecord {
  /** Names the change, so that a repeat after a lost answer is recognised. */
  readonly publicationId: string;
  /** Version that the change was based on; 0 for the first. */
  readonly base: number;
  /** Who made the change. */
  readonly operator: string;
}

/** A record of the configuration stream. */
export type ConfigurationRecord =
  | (OperatorRecord & { readonly type: 'publish'; readonly document: ConfigurationDocument })
  | (OperatorRecord & { readonly type: 'usePreset'; readonly preset: string })
  | (OperatorRecord & { readonly type: 'drainHost'; readonly host: HostName })
  | (OperatorRecord & { readonly type: 'restoreHost'; readonly host: HostName })
  /** The state after all records up to `foldedTo`, written again before the log drops them. */
  | {
      readonly type: 'checkpoint';
      readonly publicationId: string;
      readonly state: ConfigurationState;
      readonly foldedTo: number;
    };
