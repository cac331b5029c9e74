import type { HostName, PoolName } from '@parsleyhall/common';

/** A process in the platform's list of hosts; the list may lag behind the actual state. */
export interface ListedProcess {
  readonly host: HostName;
  readonly dataCentre: string;
  readonly role: 'entry' | 'target';
  /** Name of the entry or side process. */
  readonly process: string;
  /** Pool of a side process's target, if the list contains it. */
  readonly pool?: PoolName | undefined;
  /** `ip:port` of the listener for callers (entry) or for peers (side process). */
  readonly address: string;
  /** `ip:port` of the listener for operators. */
  readonly operatorAddress?: string | undefined;
  readonly state: 'live' | 'leaving';
}
