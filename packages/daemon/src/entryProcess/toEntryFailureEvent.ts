import type { EntryEffect } from '@parsleyhall/entry';
import type { EntryEventBody } from './entryEventBody.js';

/** Returns the event that reports a failed effect to the reducer; undefined when no event would help. */
export const toEntryFailureEvent = (effect: EntryEffect): EntryEventBody | undefined => {
  switch (effect.type) {
    case 'sendToSide':
    case 'openSide':
    case 'reconnectSide':
      return { type: 'sideDisconnected', side: effect.side };
    case 'answerHead':
    case 'answerBytes':
    case 'answerEnd':
      return { type: 'callerHungUp', requestId: effect.requestId };
    case 'appendKeyRecord':
      return { type: 'logFailed' };
    case 'closeSide':
    case 'answerFailure':
    case 'configurationInForce':
    case 'observe':
    case 'stopped':
      return undefined;
  }
};
