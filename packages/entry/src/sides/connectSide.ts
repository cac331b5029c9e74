import type { SideId } from '@parsleyhall/common';
import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { sendToSide } from '../steps/sendToSide.js';
import { breakLink } from './breakLink.js';
import { updateLink } from './updateLink.js';

/** Greets a side process on a new connection. */
export const connectSide = (scope: EntryScope, step: EntryStep, side: SideId): EntryStep => {
  const broken = breakLink(scope, step, side);
  const connected = updateLink(broken, side, { isConnected: true, lastHeardMs: scope.nowMs });
  return sendToSide(connected, side, {
    type: 'hello',
    entry: scope.settings.entry,
    incarnation: scope.settings.incarnation,
    configurationVersion: step.state.configuration.version,
  });
};
