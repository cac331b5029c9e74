import type { EntryToSideMessage, SideToEntryMessage } from '@parsleyhall/protocol';

/** The one stream between an entry and a side process, as the entry opens it. */
export interface Link {
  readonly open: () => void;
  readonly close: () => void;
  readonly reconnect: () => void;
  readonly sendToSide: (message: EntryToSideMessage) => void;
  readonly sendToEntry: (message: SideToEntryMessage) => void;
  /** Breaks the stream; what is in flight is lost. A silent break is told to neither end. */
  readonly cut: (options: { readonly forMs: number; readonly isSilent: boolean }) => void;
  /** For a time messages are doubled, reordered, lost or outlive their stream. */
  readonly disturb: (options: { readonly forMs: number; readonly way: number }) => void;
}
