import type { Metrics } from '@parsleyhall/metrics';
import type { RoutingEffect } from '@parsleyhall/routing';
import type { Logger } from '../logging/logger.js';
import type { PeerLink } from '../peers/peerLink.js';
import type { RequestTable } from '../requests/requestTable.js';
import type { PlatformLink } from './platformLink.js';
import { recordDecision } from './recordDecision.js';

/** Carries out an effect of the scheduler. */
export const runRoutingEffect = (
  {
    requests,
    peers,
    platform,
    metrics,
    logger,
  }: {
    readonly requests: RequestTable;
    readonly peers: PeerLink;
    readonly platform: PlatformLink;
    readonly metrics: Metrics;
    readonly logger: Logger;
  },
  effect: RoutingEffect,
): void => {
  switch (effect.type) {
    case 'send':
      requests.startSend(effect);
      return;
    case 'cancelSend':
      requests.cancelSend(effect.requestId, effect.sendId);
      return;
    case 'answer':
      requests.refuse(effect.requestId, effect.refusal);
      return;
    case 'breakOff':
      requests.abort(effect.requestId);
      return;
    case 'sendDigest':
      peers.send(effect.digest);
      return;
    case 'confirmConfiguration':
      platform.confirmConfiguration();
      return;
    case 'rememberQuotas':
      platform.persistQuotaUsage(effect.usage);
      return;
    case 'rememberQuarantines':
      platform.persistQuarantines(effect.quarantines);
      return;
    case 'writeRolloutStatus':
      platform.writeRolloutStatus(effect.status, effect.revision);
      return;
    case 'observe':
      recordDecision(metrics, effect);
      logger.writeDecision(effect);
      return;
  }
};
