import { assertNever } from '@parsleyhall/common';
import type { SideEffect } from '@parsleyhall/side';
import { observe } from '../process/observe.js';
import type { SideParts } from './sideParts.js';

/** Runs one effect of the side process's reducer. */
export const runSideEffect = (parts: SideParts, effect: SideEffect): void => {
  switch (effect.type) {
    case 'sendToEntry':
      parts.link.send(effect.entry, effect.message);
      return;
    case 'closeEntry':
      parts.link.close(effect.entry);
      return;
    case 'callTarget':
      parts.metrics.increment('target_calls_total');
      parts.target.call(effect.grantId, effect.requestId, effect.call);
      return;
    case 'resumeOnTarget':
      parts.metrics.increment('target_resumes_total');
      parts.target.resume(effect.grantId, effect.requestId, effect.fromByte);
      return;
    case 'cancelOnTarget':
      parts.metrics.increment('target_cancels_total');
      parts.target.cancel(effect.grantId, effect.requestId);
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
