import type { RoutingState } from '../routingState.js';

/** What targets hold by the knowledge of this entry at one moment. */
export type MemoryUse = Pick<RoutingState, 'targets' | 'peerHeldTokens'>;
