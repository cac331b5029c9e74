import { assertNever } from '@parsleyhall/common';
import type { SideEffect } from '@parsleyhall/side';
import { recordObservation } from '../process/recordObservation.js';
import type { SideEffectContext } from './sideEffectContext.js';

/** Runs one effect of the side process's reducer. */
export const runSideEffect = (context: SideEffectContext, effect: SideEffect): void => {
  switch (effect.type) {
    case 'sendToEntry':
      context.link.send(effect.entry, effect.message);
      return;
    case 'closeEntry':
      context.link.close(effect.entry);
      return;
    case 'callTarget':
      context.metrics.increment('target_calls_total');
      context.target.call(effect.grantId, effect.requestId, effect.call);
      return;
    case 'resumeOnTarget':
      context.metrics.increment('target_resumes_total');
      context.target.resume(effect.grantId, effect.requestId, effect.fromByte);
      return;
    case 'cancelOnTarget':
      context.metrics.increment('target_cancels_total');
      context.target.cancel(effect.grantId, effect.requestId);
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
