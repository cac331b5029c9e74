import type { SideId } from '@parsleyhall/common';
import type { ListedHost } from '@parsleyhall/entry';

/** The platform's lagging list at its interface. */
export interface HostListFake {
  /** The list as of some time ago; undefined in an outage. */
  readonly list: () => readonly ListedHost[] | undefined;
  readonly setLeaving: (side: SideId, isLeaving: boolean) => void;
  readonly setOutageUntil: (untilMs: number) => void;
}
