import type { Map } from 'immutable';
import type { GrantId, RequestId } from '@parsleyhall/common';

/** The requests that this incarnation called its target for, in two generations of bounded size. */
export interface CalledState {
  readonly recent: Map<RequestId, GrantId>;
  readonly older: Map<RequestId, GrantId>;
  /** Last grant counter whose use may have been forgotten; 0 while nothing has been. */
  readonly forgottenUpTo: number;
  /** Last grant counter when the recent generation began. */
  readonly recentSince: number;
}
