import type { EntryId } from '@parsleyhall/common';
import type { SideToEntryMessage } from '@parsleyhall/protocol';

/** The streams that a side process has accepted from entries. */
export interface LinkServer extends AsyncDisposable {
  /** The bound `ip:port`. */
  readonly address: string;
  /** Sends to an entry; when it has no stream the message is lost, as on a broken stream. */
  readonly send: (entry: EntryId, message: SideToEntryMessage) => void;
  readonly close: (entry: EntryId) => void;
}
