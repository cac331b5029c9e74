import type { EntryId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideStep } from '../step/sideStep.js';
import { updatePeer } from '../peers/updatePeer.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';

/** Sends the configuration in force to a peer that has told a lower version. */
export const syncConfiguration = (
  state: SideState,
  entry: EntryId,
  configurationVersion: number,
): SideStep => {
  const { configuration } = state;
  const next = updatePeer(state, entry, (peer) => ({ ...peer, configurationVersion }));
  return configurationVersion < configuration.version
    ? newStep(next, sendToEntry(entry, { type: 'configuration', configuration }))
    : newStep(next);
};
