import type { HostName } from '@parsleyhall/common';
import type { ConfigurationDocument } from '../document/configurationDocument.js';
import type { ConfigurationState } from '../state/configurationState.js';

/** Fields common to all records that an operator appends. */
interface OperatorRecord {
  /** Unique id of the change; makes a retry after a lost response idempotent. */
  readonly publicationId: string;
  /** Version of the configuration that the change is based on; 0 for the first change. */
  readonly base: number;
  /** Name of the operator who made the change. */
  readonly operator: string;
}

/** A record of the configuration stream: a change by an operator, or a checkpoint. */
export type ConfigurationRecord =
  | (OperatorRecord & { readonly type: 'publish'; readonly document: ConfigurationDocument })
  | (OperatorRecord & { readonly type: 'usePreset'; readonly preset: string })
  | (OperatorRecord & { readonly type: 'drainHost'; readonly host: HostName })
  | (OperatorRecord & { readonly type: 'restoreHost'; readonly host: HostName })
  /** A snapshot of the state after all records up to the offset `foldedTo`, appended before the log trims them. */
  | {
      readonly type: 'checkpoint';
      readonly publicationId: string;
      readonly state: ConfigurationState;
      readonly foldedTo: number;
    };
