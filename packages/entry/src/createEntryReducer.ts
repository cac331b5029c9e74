import { assertNever } from '@parsleyhall/common';
import type { Reducer, RequestId } from '@parsleyhall/common';
import { adoptConfiguration } from './configuration/adoptConfiguration.js';
import { DEFAULT_ENTRY_DECISIONS } from './decisions/defaultEntryDecisions.js';
import type { EntryDecisions } from './decisions/entryDecisions.js';
import type { EntryEffect } from './entryEffect.js';
import type { EntryEvent } from './entryEvent.js';
import type { EntryScope } from './entryScope.js';
import type { EntrySettings } from './entrySettings.js';
import type { EntryState } from './entryState.js';
import type { EntryStep } from './entryStep.js';
import { forgetOldKeys } from './keys/forgetOldKeys.js';
import { readKeyRecords } from './keys/readKeyRecords.js';
import { newEntryState } from './newEntryState.js';
import { acceptRequest } from './requests/acceptRequest.js';
import { attendDueRequests } from './requests/attendDueRequests.js';
import { hangUp } from './requests/hangUp.js';
import { beatHearts } from './sides/beatHearts.js';
import { breakLink } from './sides/breakLink.js';
import { connectSide } from './sides/connectSide.js';
import { listHosts } from './sides/listHosts.js';
import { receiveFromSide } from './sides/receiveFromSide.js';
import { emit } from './steps/emit.js';
import { withState } from './steps/withState.js';

const hangUpById = (scope: EntryScope, step: EntryStep, requestId: RequestId): EntryStep => {
  const tracked = step.state.requests.get(requestId);
  return tracked === undefined ? step : hangUp(scope, step, tracked);
};

const tick = (scope: EntryScope, step: EntryStep): EntryStep => {
  const beaten = beatHearts(scope, step);
  return withState(beaten, forgetOldKeys(scope, beaten.state));
};

const handle = (scope: EntryScope, step: EntryStep, event: EntryEvent): EntryStep => {
  switch (event.type) {
    case 'requestArrived':
      return acceptRequest(scope, step, event.request);
    case 'callerHungUp':
      return hangUpById(scope, step, event.requestId);
    case 'sideConnected':
      return connectSide(scope, step, event.side);
    case 'sideMessage':
      return receiveFromSide(scope, step, event.side, event.message);
    case 'sideDisconnected':
      return breakLink(scope, step, event.side);
    case 'hostsListed':
      return listHosts(scope, step, event);
    case 'keyRecordsRead':
      return readKeyRecords(scope, step, event);
    case 'logFailed':
      return emit(step, { type: 'observe', name: 'logFailed', fields: {} });
    case 'configurationFolded':
      return adoptConfiguration(scope, step, event.configuration);
    case 'stopRequested':
      return withState(step, { isStopping: true });
    case 'tick':
      return tick(scope, step);
    default:
      return assertNever(event);
  }
};

const stopWhenDone = (scope: EntryScope, step: EntryStep): EntryStep => {
  const { isStopping, isStopped, requests } = step.state;
  return isStopping && !isStopped && scope.decisions.mayStop(requests.size)
    ? emit(withState(step, { isStopped: true }), { type: 'stopped' })
    : step;
};

/** The reducer of an entry process over all its events, with its first state. */
export const createEntryReducer = (
  settings: EntrySettings,
  decisions: Partial<EntryDecisions> = {},
): {
  readonly initialState: EntryState;
  readonly reduce: Reducer<EntryState, EntryEvent, EntryEffect>;
} => {
  const allDecisions = { ...DEFAULT_ENTRY_DECISIONS, ...decisions };
  return {
    initialState: newEntryState(),
    reduce: (state, event) => {
      const scope = {
        settings,
        decisions: allDecisions,
        nowMs: event.nowMs,
        wallMs: event.wallMs,
      };
      const start: EntryStep = { state: { ...state, lastNowMs: event.nowMs }, effects: [] };
      // Due times go first: after a pause nothing may be started that is over its deadline.
      const attended = attendDueRequests(scope, start);
      return stopWhenDone(scope, handle(scope, attended, event));
    },
  };
};
