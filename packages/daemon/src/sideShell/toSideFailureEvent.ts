import type { SideEffect } from '@parsleyhall/side';
import type { SideEventBody } from './sideEventBody.js';

/** The event that stands for an effect that failed; undefined where none would help. */
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
