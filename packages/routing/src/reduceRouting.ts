import type { Reducer } from '@parsleyhall/common';
import { confirmConfiguration } from './configuration/confirmConfiguration.js';
import { indexConfiguration } from './configuration/indexConfiguration.js';
import type { RoutingConfiguration } from './configuration/routingConfiguration.js';
import { handleDigest } from './peers/handleDigest.js';
import { mergeQuarantines } from './quarantine/mergeQuarantines.js';
import { recordSendFailure } from './quarantine/recordSendFailure.js';
import { putRequest } from './requests/putRequest.js';
import { confirmStatuses } from './rollouts/confirmStatuses.js';
import { mergeOrder } from './rollouts/mergeOrder.js';
import { mergeStoredStatuses } from './rollouts/mergeStoredStatuses.js';
import { restoreQuotas } from './quota/restoreQuotas.js';
import type { RoutingEffect } from './routingEffect.js';
import type { RoutingEvent } from './routingEvent.js';
import type { RoutingState } from './routingState.js';
import type { TimestampedRoutingEvent } from './timestampedRoutingEvent.js';
import { handleArrival } from './steps/handleArrival.js';
import { handleResponseHead } from './steps/handleResponseHead.js';
import { handleResponseProgress } from './steps/handleResponseProgress.js';
import { handleCallerDisconnect } from './steps/handleCallerDisconnect.js';
import { handleResponseEnd } from './steps/handleResponseEnd.js';
import { handleSendFailure } from './steps/handleSendFailure.js';
import { findRequestBySend } from './steps/findRequestBySend.js';
import { chainStep } from './steps/chainStep.js';
import { createStepResult } from './steps/createStepResult.js';
import { handleTargetList } from './steps/handleTargetList.js';
import type { StepResult } from './steps/stepResult.js';
import type { StepContext } from './steps/stepContext.js';
import { refuseChangedKeys } from './steps/refuseChangedKeys.js';
import { runStepForEach } from './steps/runStepForEach.js';
import { endOpenRequests } from './steps/endOpenRequests.js';
import { handleTick } from './steps/handleTick.js';

const applyConfiguration = (
  state: RoutingState,
  configuration: RoutingConfiguration,
  context: StepContext,
): StepResult => {
  const { version } = configuration;
  if (state.index !== undefined && state.index.configuration.version >= version) {
    return createStepResult(state);
  }
  const applied = createStepResult(
    { ...state, index: indexConfiguration(configuration) },
    {
      type: 'observe',
      name: 'configurationInForce',
      fields: { version, routes: configuration.routes.length, teams: configuration.teams.length },
    },
  );
  return chainStep(applied, (current) => refuseChangedKeys(current, context));
};

const handleEvent = (
  state: RoutingState,
  event: RoutingEvent,
  context: StepContext,
): StepResult => {
  switch (event.type) {
    case 'requestArrived':
      return handleArrival(state, event.arrival, context);
    case 'callerGone': {
      const request = state.requests.get(event.requestId);
      return request === undefined
        ? createStepResult(state)
        : handleCallerDisconnect(state, request, context);
    }
    case 'responseHeadReceived': {
      const request = findRequestBySend(state, event.requestId, event.sendId);
      return request === undefined
        ? createStepResult(state)
        : handleResponseHead(state, request, event.head, context);
    }
    case 'responseProgressed': {
      const request = findRequestBySend(state, event.requestId, event.sendId);
      return request === undefined
        ? createStepResult(state)
        : handleResponseProgress(state, request, context);
    }
    case 'responseStarted': {
      const request = findRequestBySend(state, event.requestId, event.sendId);
      return createStepResult(
        request === undefined ? state : putRequest(state, { ...request, hasResponseStarted: true }),
      );
    }
    case 'responseCommitted': {
      const request = findRequestBySend(state, event.requestId, event.sendId);
      return createStepResult(
        request === undefined ? state : putRequest(state, { ...request, isCommitted: true }),
      );
    }
    case 'responseEnded': {
      const request = findRequestBySend(state, event.requestId, event.sendId);
      return request === undefined
        ? createStepResult(state)
        : handleResponseEnd(state, request, event, context);
    }
    case 'sendFailed': {
      const request = findRequestBySend(state, event.requestId, event.sendId);
      return request === undefined
        ? createStepResult(state)
        : handleSendFailure(
            recordSendFailure(state, request, event.failure, context.nowMs),
            request,
            event.failure,
            context,
            event.fault,
          );
    }
    case 'configurationRead':
      return applyConfiguration(state, event.configuration, context);
    case 'configurationConfirmed':
      return createStepResult(confirmConfiguration(state, event, context));
    case 'targetsConfirmed':
      return createStepResult({ ...state, targetsConfirmedAtMs: context.nowMs });
    case 'targetsListed':
      return handleTargetList(state, event.targets, context);
    case 'digestReceived':
      return handleDigest(state, event.digest, context);
    case 'quotasRestored':
      return createStepResult(restoreQuotas(state, event.usage, context));
    case 'quarantinesRead':
      return mergeQuarantines(state, event.quarantines, 'store', context.nowMs);
    case 'rolloutOrdersRead':
      return runStepForEach(state, event.orders, (next, order) =>
        mergeOrder(next, order, event.isSnapshot, context.nowMs),
      );
    case 'rolloutStatusesRead':
      return mergeStoredStatuses(state, event.statuses, event.isSnapshot, context);
    case 'rolloutStatusesConfirmed':
      return createStepResult(confirmStatuses(state, event, context.nowMs));
    case 'settingsRead':
      return createStepResult({ ...state, settings: event.settings });
    case 'drainStarted':
      return createStepResult({ ...state, isLeaving: true, digestSentAtMs: -Infinity });
    case 'drainTimeUp':
      return endOpenRequests(state, context);
    case 'ticked':
      return handleTick(state, context);
  }
};

/** The reducer of an entry that calls its targets directly: computes the next state and the effects of an event. */
export const reduceRouting: Reducer<RoutingState, TimestampedRoutingEvent, RoutingEffect> = (
  state,
  { now, event },
) => handleEvent(state, event, { settings: state.settings, now, nowMs: now.monotonicMs });
