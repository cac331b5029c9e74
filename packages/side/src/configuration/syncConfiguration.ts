import type { EntryId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideStep } from '../step/sideStep.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';

/** Sends the configuration in force to a peer that has told a lower version. */
export const syncConfiguration = (
  state: SideState,
  entry: EntryId,
  configurationVersion: number,
): SideStep => {
  const { configuration } = state;
  return configurationVersion < configuration.version
    ? newStep(state, sendToEntry(entry, { type: 'configuration', configuration }))
    : newStep(state);
};
