import type { EntryId } from '@parsleyhall/common';
import type { SideToEntryMessage } from '@parsleyhall/protocol';

/** A side process's streams from the entries. */
export interface LinkServer extends AsyncDisposable {
  /** The bound `ip:port`. */
  readonly address: string;
  /** Sends to an entry; without a stream of it the message is lost, as on a broken stream. */
  readonly send: (entry: EntryId, message: SideToEntryMessage) => void;
  readonly close: (entry: EntryId) => void;
}
