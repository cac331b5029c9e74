import type { PoolName } from '@parsleyhall/common';

/** A pool of like-purposed targets: model engines or plain services. */
export interface Pool {
  readonly name: PoolName;
  readonly kind: 'engine' | 'service';
  /** Models that the pool's engines answer to; empty for services. */
  readonly models: readonly string[];
  /** Calls of a service that may not be repeated, as method and path prefix. */
  readonly nonIdempotentCalls: readonly { readonly method: string; readonly pathPrefix: string }[];
  /** True when the pool's targets check fencing numbers. */
  readonly checksFencing: boolean;
}
