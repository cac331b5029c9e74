import type { ConfigurationState } from '@parsleyhall/configuration';
import type { SideLink } from './sideLink.js';

/** True when a side process may get new work: connected, greeted, and leaving by no account. */
export const isUsableSide = (configuration: ConfigurationState, link: SideLink): boolean =>
  link.isConnected &&
  link.greeting !== undefined &&
  !link.isLeaving &&
  !link.isListedLeaving &&
  link.isListed &&
  !configuration.drainedHosts.includes(link.greeting.host);
