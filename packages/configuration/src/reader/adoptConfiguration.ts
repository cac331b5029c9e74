import type { ConfigurationState } from '../state/configurationState.js';
import type { ConfigurationReader } from './configurationReader.js';
import { foldPendingRecords } from './foldPendingRecords.js';

/**
 * Replaces the reader's state by a peer's state if that is newer. Reading then continues at the offset that is the peer
 * state's version, unless the reader has already read further. A reader that has folded all records up to that offset
 * itself keeps its own state.
 */
export const adoptConfiguration = (
  reader: ConfigurationReader,
  peerState: ConfigurationState,
): ConfigurationReader => {
  const { version } = peerState;
  if (version <= reader.state.version || version <= reader.foldedTo) {
    return reader;
  }
  const adopted = { ...reader, state: peerState, foldedTo: version };
  if (reader.nextOffset <= version) {
    return {
      ...adopted,
      nextOffset: version,
      pendingFromOffset: version,
      pendingRecords: [],
      lastCheckpoint: undefined,
    };
  }
  return foldPendingRecords(adopted).reader;
};
