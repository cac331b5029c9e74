import type { Either } from 'purify-ts';
import type {
  HostListClient,
  LogClient,
  PlatformFailure,
  ProcessStatus,
} from '@parsleyhall/clients';
import type { OperatorFailure } from '../failure/operatorFailure.js';

/** What the commands do to the world, handed in so that tests can stand in for it. */
export interface OperatorWorld {
  readonly openLog: (address: string) => LogClient;
  readonly openHostList: (address: string) => HostListClient;
  /** Asks a process's operators' listener for its status. */
  readonly getStatus: (address: string) => Promise<Either<PlatformFailure, ProcessStatus>>;
  readonly readFile: (file: string) => Promise<Either<OperatorFailure, string>>;
  /** All of standard input. */
  readonly readInput: () => Promise<Either<OperatorFailure, string>>;
  readonly writeFile: (file: string, text: string) => Promise<Either<OperatorFailure, undefined>>;
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
  readonly newPublicationId: () => string;
  /** Wall clock, in milliseconds. */
  readonly getNowMs: () => number;
  readonly wait: (waitMs: number) => Promise<void>;
  /** True once the operator asked to stop watching. */
  readonly isStopped: () => boolean;
}
