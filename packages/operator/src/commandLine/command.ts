import type { EitherAsync } from 'purify-ts';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import type { CommandOptions } from './commandOptions.js';
import type { CommandOutput } from './commandOutput.js';
import type { OperatorSession } from './operatorSession.js';
import type { OperatorEnvironment } from './operatorEnvironment.js';

/** A parsed command: a `session` command talks to the platform, a `files` command only reads local files. */
export type Command = { readonly options: CommandOptions } & (
  | {
      readonly type: 'session';
      readonly run: (session: OperatorSession) => EitherAsync<OperatorFailure, CommandOutput>;
    }
  | {
      readonly type: 'files';
      readonly run: (
        environment: OperatorEnvironment,
      ) => EitherAsync<OperatorFailure, CommandOutput>;
    }
);
