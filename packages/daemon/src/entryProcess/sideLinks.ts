import type { SideId } from '@parsleyhall/common';
import type { EntryToSideMessage } from '@parsleyhall/protocol';

/** The streams of an entry to its side processes. */
export interface SideLinks extends AsyncDisposable {
  readonly open: (side: SideId, address: string) => void;
  readonly close: (side: SideId) => void;
  readonly reconnect: (side: SideId) => void;
  readonly send: (side: SideId, message: EntryToSideMessage) => void;
}
