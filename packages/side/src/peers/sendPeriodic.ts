import type { SideEffect } from '../sideEffect.js';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';
import { disconnectPeer } from './disconnectPeer.js';
import { newDigest } from './newDigest.js';

const DIGEST_PERIOD_MS = 100;
const DIGEST_MS_PER_PEER = 30;

const sendHeartbeats = (context: SideContext, state: SideState): SideStep => {
  const { heartbeatMs } = context.settings;
  if (context.nowMs < state.periods.heartbeatAtMs + heartbeatMs) {
    return newStep(state);
  }
  const configurationVersion = state.configuration.version;
  const effects = [...state.peers.keys()].map((entry) =>
    sendToEntry(entry, { type: 'heartbeat', configurationVersion }),
  );
  const periods = { ...state.periods, heartbeatAtMs: context.nowMs };
  return andThen(newStep({ ...state, periods }, ...effects), (next) => closeSilent(context, next));
};

const closeSilent = (context: SideContext, state: SideState): SideStep => {
  const silentSinceMs = context.nowMs - context.settings.peerTimeoutMs;
  const silent = [...state.peers.entries()].filter(([, peer]) => peer.lastHeardMs < silentSinceMs);
  const next = silent.reduce((left, [entry]) => disconnectPeer(context, left, entry), state);
  const effects = silent.map(([entry]): SideEffect => ({ type: 'closeEntry', entry }));
  return newStep(next, ...effects);
};

const sendDigests = (context: SideContext, state: SideState): SideStep => {
  const periodMs = Math.max(DIGEST_PERIOD_MS, state.peers.size * DIGEST_MS_PER_PEER);
  if (context.nowMs < state.periods.digestAtMs + periodMs) {
    return newStep(state);
  }
  const digest = newDigest(context, state);
  const periods = { ...state.periods, digestAtMs: context.nowMs, digest };
  const isHeartbeat = state.periods.heartbeatAtMs === context.nowMs;
  if (!isHeartbeat && JSON.stringify(digest) === JSON.stringify(state.periods.digest)) {
    return newStep({ ...state, periods });
  }
  const effects = [...state.peers.keys()].map((entry) =>
    sendToEntry(entry, { type: 'digest', digest }),
  );
  return newStep({ ...state, periods }, ...effects);
};

/** Sends heartbeats and digests when they are due, and closes streams that have been silent too long. */
export const sendPeriodic = (context: SideContext, state: SideState): SideStep =>
  andThen(sendHeartbeats(context, state), (next) => sendDigests(context, next));
