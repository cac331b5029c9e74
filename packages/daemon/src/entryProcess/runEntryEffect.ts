import { assertNever } from '@parsleyhall/common';
import type { EntryEffect } from '@parsleyhall/entry';
import { recordObservation } from '../process/recordObservation.js';
import type { EntryEffectContext } from './entryEffectContext.js';

const sendToSide = (
  { callers, links }: EntryEffectContext,
  { side, message }: Extract<EntryEffect, { readonly type: 'sendToSide' }>,
): void => {
  if (message.type === 'give') {
    callers.markSentToSide(message.requestId);
  }
  links.send(side, message);
};

/** Runs one effect of the entry's reducer. */
export const runEntryEffect = (context: EntryEffectContext, effect: EntryEffect): void => {
  switch (effect.type) {
    case 'sendToSide':
      sendToSide(context, effect);
      return;
    case 'openSide':
      context.links.open(effect.side, effect.address);
      return;
    case 'closeSide':
      context.links.close(effect.side);
      return;
    case 'reconnectSide':
      recordObservation(context, 'peerSilent', { side: effect.side });
      context.links.reconnect(effect.side);
      return;
    case 'answerHead':
      context.callers.sendHead(effect.requestId, effect.status, effect.headers);
      return;
    case 'answerBytes':
      context.callers.sendBytes(effect.requestId, effect.bytes);
      return;
    case 'answerEnd':
      context.callers.end(effect.requestId);
      return;
    case 'answerFailure':
      context.callers.fail(effect.requestId, effect.failure);
      return;
    case 'appendKeyRecord':
      context.keyLog.append(effect.partition, effect.record);
      return;
    case 'configurationInForce':
      context.applyConfiguration(effect.configuration);
      return;
    case 'observe':
      recordObservation(context, effect.name, effect.fields);
      return;
    case 'stopped':
      context.finishStop();
      return;
    default:
      assertNever(effect);
  }
};
