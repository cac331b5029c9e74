import type { ConfigurationState } from '../state/configurationState.js';
import type { ConfigurationReader } from './configurationReader.js';
import { settleHeldRecords } from './settleHeldRecords.js';

/**
 * Takes a peer's configuration when it is newer than what the reader has folded; reading goes on at its offset. A
 * reader that has itself read past that offset without a gap keeps what the log told it.
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
    return { ...adopted, nextOffset: version, heldFrom: version, held: [], anchor: undefined };
  }
  return settleHeldRecords(adopted).reader;
};
