import type { Destination } from './destination.js';
import type { RouteKind } from './routeKind.js';

/** Which requests go to which service, and on what terms. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly destinations: readonly Destination[];
  /** The longest time that a request is kept, in milliseconds. */
  readonly timeoutMs: number;
  /** The time to the answer, or to a stream's first event, that is on time, in milliseconds. */
  readonly objectiveMs: number;
  /** The longest silence before or in a stream that its caller bears, in milliseconds. */
  readonly longestSilenceMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The most targets that one request may be sent to. */
  readonly maxAttempts: number;
  readonly isAnonymousAllowed: boolean;
}
