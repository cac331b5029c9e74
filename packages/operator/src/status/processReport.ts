import type { Either } from 'purify-ts';
import type { ListedProcess, PlatformFailure, ProcessStatus } from '@parsleyhall/clients';

/** A listed process and what it said of itself. */
export interface ProcessReport {
  readonly listed: ListedProcess;
  readonly status: Either<PlatformFailure, ProcessStatus>;
}
