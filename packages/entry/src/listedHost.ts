import type { HostName, SideId } from '@parsleyhall/common';

/** A target host's side process as the platform's lagging list names it. */
export interface ListedHost {
  readonly host: HostName;
  readonly side: SideId;
  /** IP address and port of the side process. */
  readonly address: string;
  readonly isLeaving: boolean;
}
