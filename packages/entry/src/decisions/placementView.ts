import type { SideLink } from '../sides/sideLink.js';
import type { ArrivedRequest } from '../arrivedRequest.js';

/** What the choice of side processes for one request may look at. */
export interface PlacementView {
  readonly request: ArrivedRequest;
  /** Connected side processes of the pool that may take the request. */
  readonly candidates: readonly SideLink[];
  /** Order of arrival, for policies that take turns. */
  readonly sequence: number;
  readonly longPrefillShare: number;
  readonly longPrefillTokens: number;
  readonly maximumReservations: number;
}
