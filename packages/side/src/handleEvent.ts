import { assertNever } from '@parsleyhall/common';
import type { SideEvent } from './sideEvent.js';
import type { SideState } from './sideState.js';
import type { SideContext } from './step/sideContext.js';
import type { SideStep } from './step/sideStep.js';
import { takeConfiguration } from './configuration/takeConfiguration.js';
import { updateLeaving } from './leaving/updateLeaving.js';
import { connectPeer } from './peers/connectPeer.js';
import { disconnectPeer } from './peers/disconnectPeer.js';
import { takeMessage } from './peers/takeMessage.js';
import { takeBytes } from './runs/takeBytes.js';
import { takeEnd } from './runs/takeEnd.js';
import { takeFailure } from './runs/takeFailure.js';
import { takeHead } from './runs/takeHead.js';
import { takeUnknown } from './runs/takeUnknown.js';
import { newStep } from './step/newStep.js';
import { tick } from './tick.js';
import { observeWindow } from './window/observeWindow.js';

/** Handles one event by its type. */
export const handleEvent = (context: SideContext, state: SideState, event: SideEvent): SideStep => {
  switch (event.type) {
    case 'entryConnected':
      return connectPeer(context, state, event.entry);
    case 'entryMessage':
      return takeMessage(context, state, event.entry, event.message);
    case 'entryDisconnected':
      return newStep(disconnectPeer(context, state, event.entry));
    case 'targetHead':
      return takeHead(state, event);
    case 'targetBytes':
      return takeBytes(context, state, event);
    case 'targetEnd':
      return takeEnd(context, state, event);
    case 'targetFailed':
      return takeFailure(context, state, event);
    case 'targetUnknown':
      return takeUnknown(state, event);
    case 'loadReport':
      return newStep(observeWindow(context, state, { ...event, type: 'report' }));
    case 'cacheEvent':
      return newStep(state);
    case 'configurationFolded':
      return takeConfiguration(context, state, event.configuration);
    case 'hostLeaving':
      return updateLeaving(context, state, { isHostLeaving: true });
    case 'hostReturned':
      return updateLeaving(context, state, { isHostLeaving: false });
    case 'stopRequested':
      return updateLeaving(context, state, { isStopRequested: true });
    case 'tick':
      return tick(context, state);
    default:
      return assertNever(event);
  }
};
