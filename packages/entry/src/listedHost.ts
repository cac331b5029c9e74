import type { HostName, PoolName, SideId } from '@parsleyhall/common';

/** A target host's side process as the platform's lagging list names it. */
export interface ListedHost {
  readonly host: HostName;
  readonly side: SideId;
  /** IP address and port of the side process. */
  readonly address: string;
  readonly isLeaving: boolean;
  /** Data centre and pool, where the list tells them; subsets are spread over and chosen within them. */
  readonly dataCentre?: string;
  readonly pool?: PoolName;
}
