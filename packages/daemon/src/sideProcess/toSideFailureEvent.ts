import type { SideEffect } from '@parsleyhall/side';
import type { SideEventBody } from './sideEventBody.js';

/** Returns the event that reports a failed effect to the reducer; undefined when no event would help. */
export const toSideFailureEvent = (effect: SideEffect): SideEventBody | undefined => {
  switch (effect.type) {
    case 'sendToEntry':
      return { type: 'entryDisconnected', entry: effect.entry };
    case 'callTarget':
    case 'resumeOnTarget':
      return { type: 'targetFailed', grantId: effect.grantId, outcome: 'unknown' };
    case 'closeEntry':
    case 'cancelOnTarget':
    case 'configurationInForce':
    case 'observe':
    case 'stopped':
      return undefined;
  }
};
