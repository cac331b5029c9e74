import type { Reducer } from '@parsleyhall/common';
import { indexConfiguration } from './configuration/indexConfiguration.js';
import type { RoutingConfiguration } from './configuration/routingConfiguration.js';
import { receiveDigest } from './peers/receiveDigest.js';
import { recallQuotas } from './quota/recallQuotas.js';
import type { RoutingEffect } from './routingEffect.js';
import type { RoutingEvent } from './routingEvent.js';
import type { RoutingState } from './routingState.js';
import type { StampedRoutingEvent } from './stampedRoutingEvent.js';
import { arrive } from './steps/arrive.js';
import { beginAnswer } from './steps/beginAnswer.js';
import { continueAnswer } from './steps/continueAnswer.js';
import { dropCaller } from './steps/dropCaller.js';
import { endAnswer } from './steps/endAnswer.js';
import { failSend } from './steps/failSend.js';
import { findSend } from './steps/findSend.js';
import { keep } from './steps/keep.js';
import { listTargets } from './steps/listTargets.js';
import type { Outcome } from './steps/outcome.js';
import type { Scope } from './steps/scope.js';
import { tick } from './steps/tick.js';

const readConfiguration = (state: RoutingState, configuration: RoutingConfiguration): Outcome => {
  const { version } = configuration;
  if (state.index !== undefined && state.index.configuration.version >= version) {
    return keep(state);
  }
  return keep(
    { ...state, index: indexConfiguration(configuration) },
    {
      type: 'observe',
      name: 'configurationInForce',
      fields: { version, routes: configuration.routes.length, teams: configuration.teams.length },
    },
  );
};

const step = (state: RoutingState, event: RoutingEvent, scope: Scope): Outcome => {
  switch (event.type) {
    case 'arrived':
      return arrive(state, event.arrival, scope);
    case 'callerGone': {
      const request = state.requests.get(event.requestId);
      return request === undefined ? keep(state) : dropCaller(state, request, scope);
    }
    case 'answerBegan': {
      const request = findSend(state, event.requestId, event.sendId);
      return request === undefined ? keep(state) : beginAnswer(state, request, event.head, scope);
    }
    case 'answerWentOn': {
      const request = findSend(state, event.requestId, event.sendId);
      return request === undefined ? keep(state) : continueAnswer(state, request, scope);
    }
    case 'answerEnded': {
      const request = findSend(state, event.requestId, event.sendId);
      return request === undefined ? keep(state) : endAnswer(state, request, event.events, scope);
    }
    case 'sendFailed': {
      const request = findSend(state, event.requestId, event.sendId);
      return request === undefined ? keep(state) : failSend(state, request, event.failure, scope);
    }
    case 'configurationRead':
      return readConfiguration(state, event.configuration);
    case 'configurationConfirmed':
      return keep({ ...state, confirmed: event.confirmed });
    case 'targetsConfirmed':
      return keep({ ...state, targetsConfirmedMs: scope.nowMs });
    case 'targetsListed':
      return listTargets(state, event.targets, scope);
    case 'digestReceived':
      return receiveDigest(state, event.digest, scope);
    case 'quotasRecalled':
      return keep(recallQuotas(state, event.taken, scope));
    case 'settingsRead':
      return keep({ ...state, settings: event.settings });
    case 'leaving':
      return keep({ ...state, isLeaving: true });
    case 'ticked':
      return tick(state, scope);
  }
};

/** The scheduler of an entry that calls its targets itself: one pure step an event. */
export const reduceRouting: Reducer<RoutingState, StampedRoutingEvent, RoutingEffect> = (
  state,
  { now, event },
) => step(state, event, { settings: state.settings, now, nowMs: now.steadyMs });
