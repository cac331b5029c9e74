import type { EntryToSideMessage } from '@parsleyhall/protocol';

/** An entry's stream to one side process; it is connected anew until disposed of. */
export interface LinkClient extends AsyncDisposable {
  /** Sends on the stream of now; without one the message is lost, as on a broken stream. */
  readonly send: (message: EntryToSideMessage) => void;
  /** Drops the stream and connects anew. */
  readonly reconnect: () => void;
}
