import type { EntryToSideMessage } from '@parsleyhall/protocol';

/** An entry's stream to one side process; it reconnects until disposed of. */
export interface LinkClient extends AsyncDisposable {
  /** Sends on the current stream; without one the message is lost, as on a broken stream. */
  readonly send: (message: EntryToSideMessage) => void;
  /** Closes the stream and connects again. */
  readonly reconnect: () => void;
}
