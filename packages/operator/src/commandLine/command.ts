import type { EitherAsync } from 'purify-ts';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import type { CommandOptions } from './commandOptions.js';
import type { CommandOutput } from './commandOutput.js';
import type { OperatorSession } from './operatorSession.js';
import type { OperatorWorld } from './operatorWorld.js';

/** What a command line asks for: with the platform, or with files alone. */
export type Command = { readonly options: CommandOptions } & (
  | {
      readonly type: 'session';
      readonly run: (session: OperatorSession) => EitherAsync<OperatorFailure, CommandOutput>;
    }
  | {
      readonly type: 'files';
      readonly run: (world: OperatorWorld) => EitherAsync<OperatorFailure, CommandOutput>;
    }
);
