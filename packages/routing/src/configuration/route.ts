import type { Destination } from './destination.js';
import type { RouteKind } from './routeKind.js';

/** Which requests are sent to which services, with their timeouts, priority and retry rules. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly destinations: readonly Destination[];
  /** The longest time that a request may take, in milliseconds. */
  readonly timeoutMs: number;
  /** The target time to the response, or to a stream's first event, in milliseconds. */
  readonly objectiveMs: number;
  /** The longest silence before or within a stream that callers tolerate, in milliseconds. */
  readonly longestSilenceMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Maximum number of targets that one request may be sent to. */
  readonly maxAttempts: number;
  readonly isAnonymousAllowed: boolean;
}
