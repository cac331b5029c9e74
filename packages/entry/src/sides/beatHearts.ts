import type { EntryScope } from '../entryScope.js';
import type { EntryStep } from '../entryStep.js';
import { emit } from '../steps/emit.js';
import { forEachStep } from '../steps/forEachStep.js';
import { sendToSide } from '../steps/sendToSide.js';
import { withState } from '../steps/withState.js';
import { breakLink } from './breakLink.js';
import type { SideLink } from './sideLink.js';

const attendLink = (scope: EntryScope, step: EntryStep, link: SideLink): EntryStep => {
  if (!link.isConnected) {
    return step;
  }
  if (scope.nowMs - link.lastHeardMs > scope.settings.peerTimeoutMs) {
    const broken = breakLink(scope, step, link.side);
    return emit(broken, { type: 'reconnectSide', side: link.side });
  }
  return sendToSide(step, link.side, {
    type: 'heartbeat',
    configurationVersion: step.state.configuration.version,
  });
};

/** Once a period: sends heartbeats and drops connections that have been silent too long. */
export const beatHearts = (scope: EntryScope, step: EntryStep): EntryStep => {
  if (scope.nowMs < step.state.nextHeartbeatAtMs) {
    return step;
  }
  const planned = withState(step, {
    nextHeartbeatAtMs: scope.nowMs + scope.settings.heartbeatMs,
  });
  return forEachStep(planned, planned.state.sides.values(), (current, link) =>
    attendLink(scope, current, link),
  );
};
