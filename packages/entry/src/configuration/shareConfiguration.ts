import type { SideId } from '@parsleyhall/common';
import type { EntryStep } from '../entryStep.js';
import { sendToSide } from '../steps/sendToSide.js';

/** Sends the configuration to a side process that is behind. */
export const shareConfiguration = (
  step: EntryStep,
  side: SideId,
  theirVersion: number,
): EntryStep => {
  const { configuration } = step.state;
  return theirVersion < configuration.version
    ? sendToSide(step, side, { type: 'configuration', configuration })
    : step;
};
