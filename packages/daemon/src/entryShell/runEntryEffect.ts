import { assertNever } from '@parsleyhall/common';
import type { EntryEffect } from '@parsleyhall/entry';
import { observe } from '../process/observe.js';
import type { EntryParts } from './entryParts.js';

const sendToSide = (
  { callers, links }: EntryParts,
  { side, message }: Extract<EntryEffect, { readonly type: 'sendToSide' }>,
): void => {
  if (message.type === 'give') {
    callers.noteGiven(message.requestId);
  }
  links.send(side, message);
};

/** Runs one effect of the entry's reducer. */
export const runEntryEffect = (parts: EntryParts, effect: EntryEffect): void => {
  switch (effect.type) {
    case 'sendToSide':
      sendToSide(parts, effect);
      return;
    case 'openSide':
      parts.links.open(effect.side, effect.address);
      return;
    case 'closeSide':
      parts.links.close(effect.side);
      return;
    case 'reconnectSide':
      observe(parts, 'peerSilent', { side: effect.side });
      parts.links.reconnect(effect.side);
      return;
    case 'answerHead':
      parts.callers.sendHead(effect.requestId, effect.status, effect.headers);
      return;
    case 'answerBytes':
      parts.callers.sendBytes(effect.requestId, effect.bytes);
      return;
    case 'answerEnd':
      parts.callers.end(effect.requestId);
      return;
    case 'answerFailure':
      parts.callers.fail(effect.requestId, effect.failure);
      return;
    case 'appendKeyRecord':
      parts.keyLog.append(effect.partition, effect.record);
      return;
    case 'configurationInForce':
      parts.putInForce(effect.configuration);
      return;
    case 'observe':
      observe(parts, effect.name, effect.fields);
      return;
    case 'stopped':
      parts.finishStop();
      return;
    default:
      assertNever(effect);
  }
};
