import type { HostName, PoolName } from '@parsleyhall/common';

/** A process as the platform's lagging list names it. */
export interface ListedProcess {
  readonly host: HostName;
  readonly dataCentre: string;
  readonly role: 'entry' | 'target';
  /** Name of the entry or side process. */
  readonly process: string;
  /** Pool of a side process's target, where the list tells it. */
  readonly pool?: PoolName | undefined;
  /** `ip:port` of an entry's callers' listener or of a side process's peer listener. */
  readonly address: string;
  /** `ip:port` of the operators' listener. */
  readonly operatorAddress?: string | undefined;
  readonly state: 'live' | 'leaving';
}
