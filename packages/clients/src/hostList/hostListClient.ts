import type { Either } from 'purify-ts';
import type { PlatformFailure } from '../http/platformFailure.js';
import type { HostList } from './hostList.js';

/** Client of the platform's list of hosts. */
export interface HostListClient extends AsyncDisposable {
  readonly list: (list?: {
    readonly signal?: AbortSignal | undefined;
  }) => Promise<Either<PlatformFailure, HostList>>;
}
