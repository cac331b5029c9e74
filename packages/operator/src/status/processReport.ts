import type { Either } from 'purify-ts';
import type { ListedProcess, PlatformFailure, ProcessStatus } from '@parsleyhall/clients';

/** A listed process with its status, or with the failure of the status request. */
export interface ProcessReport {
  readonly listed: ListedProcess;
  readonly status: Either<PlatformFailure, ProcessStatus>;
}
