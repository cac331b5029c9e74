import type { PoolName } from '@parsleyhall/common';

/** A group of targets that serve the same purpose: either model engines or a plain service. */
export interface Pool {
  readonly name: PoolName;
  readonly kind: 'engine' | 'service';
  /** Models that the engines of the pool serve; empty for a pool of services. */
  readonly models: readonly string[];
  /** Calls that are not idempotent and must not be repeated, by method and path prefix. */
  readonly nonIdempotentCalls: readonly { readonly method: string; readonly pathPrefix: string }[];
  /** True when the targets reject calls with an outdated fencing token. */
  readonly checksFencing: boolean;
}
