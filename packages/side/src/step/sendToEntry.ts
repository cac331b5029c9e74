import type { EntryId } from '@parsleyhall/common';
import type { SideToEntryMessage } from '@parsleyhall/protocol';
import type { SideEffect } from '../sideEffect.js';

/** The effect that sends a message to an entry. */
export const sendToEntry = (entry: EntryId, message: SideToEntryMessage): SideEffect => ({
  type: 'sendToEntry',
  entry,
  message,
});
