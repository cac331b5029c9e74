import type { RoutingState } from '../routingState.js';
import { runStepForEach } from '../steps/runStepForEach.js';
import { createStepResult } from '../steps/createStepResult.js';
import type { StepResult } from '../steps/stepResult.js';
import { isPeerAlive } from './isPeerAlive.js';
import { replacePeerLoad } from './replacePeerLoad.js';

/** Logs, once for each, the other entries that have become silent, and no longer counts their requests in flight. */
export const reportLostPeers = (state: RoutingState, nowMs: number): StepResult =>
  runStepForEach(state, state.peers, (current, [host, peer]) => {
    if (peer.isLost || isPeerAlive(peer, nowMs)) {
      return createStepResult(current);
    }
    const silentMs = Math.round(nowMs - peer.lastHeardAtMs);
    return createStepResult(
      {
        ...current,
        peers: current.peers.set(host, { ...peer, isLost: true }),
        peerInFlight: replacePeerLoad(current.peerInFlight, peer.digest.inFlight, {}),
        peerHeldTokens: replacePeerLoad(current.peerHeldTokens, peer.digest.heldTokens ?? {}, {}),
        peerPendingTokens: replacePeerLoad(
          current.peerPendingTokens,
          peer.digest.pendingTokens ?? {},
          {},
        ),
      },
      { type: 'observe', name: 'peerLost', fields: { peer: host, silentMs } },
    );
  });
