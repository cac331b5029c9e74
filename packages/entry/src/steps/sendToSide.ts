import type { SideId } from '@parsleyhall/common';
import type { EntryToSideMessage } from '@parsleyhall/protocol';
import type { EntryStep } from '../entryStep.js';
import { emit } from './emit.js';

/** Sends to a side process while its connection is open; a message to a closed one is dropped. */
export const sendToSide = (
  step: EntryStep,
  side: SideId,
  message: EntryToSideMessage,
): EntryStep =>
  step.state.sides.get(side)?.isConnected === true
    ? emit(step, { type: 'sendToSide', side, message })
    : step;
