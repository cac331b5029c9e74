import type { SideToEntryMessage } from '@parsleyhall/protocol';
import type { SideEffect } from '../sideEffect.js';
import type { SideState } from '../sideState.js';
import type { Run } from './run.js';
import { sendToEntry } from '../step/sendToEntry.js';

/** The effects that relay messages of a run; none while its entry's stream is broken. */
export const relay = (
  state: SideState,
  run: Run,
  ...messages: readonly SideToEntryMessage[]
): readonly SideEffect[] => {
  const connection = state.peers.get(run.entry)?.connection;
  return connection === undefined || connection !== run.relayConnection
    ? []
    : messages.map((message) => sendToEntry(run.entry, message));
};
