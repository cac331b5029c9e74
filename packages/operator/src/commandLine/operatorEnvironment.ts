import type { Either } from 'purify-ts';
import type {
  HostListClient,
  LogClient,
  PlatformFailure,
  ProcessStatus,
} from '@parsleyhall/clients';
import type { OperatorFailure } from '../failure/operatorFailure.js';

/** All input and output of the commands; injected so that tests can replace it. */
export interface OperatorEnvironment {
  readonly openLog: (address: string) => LogClient;
  readonly openHostList: (address: string) => HostListClient;
  /** Requests the status of a process from its operator listener. */
  readonly getStatus: (address: string) => Promise<Either<PlatformFailure, ProcessStatus>>;
  readonly readFile: (file: string) => Promise<Either<OperatorFailure, string>>;
  /** Reads standard input to its end. */
  readonly readInput: () => Promise<Either<OperatorFailure, string>>;
  readonly writeFile: (file: string, text: string) => Promise<Either<OperatorFailure, undefined>>;
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
  readonly createPublicationId: () => string;
  /** Wall clock, in milliseconds. */
  readonly getNowMs: () => number;
  readonly wait: (waitMs: number) => Promise<void>;
  /** True once the operator has interrupted the command. */
  readonly isStopped: () => boolean;
}
