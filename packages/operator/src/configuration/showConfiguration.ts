import type { EitherAsync } from 'purify-ts';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { readConfiguration } from './readConfiguration.js';

/** Shows the configuration in force with its version. */
export const showConfiguration = ({
  log,
}: OperatorSession): EitherAsync<OperatorFailure, CommandOutput> =>
  readConfiguration(log).map(({ state, document }) => ({
    text: [
      `version: ${state.version}`,
      `preset in force: ${state.presetInForce ?? 'none'}`,
      `drained hosts: ${state.drainedHosts.join(', ') || 'none'}`,
      JSON.stringify(document, undefined, 2),
    ].join('\n'),
    json: state,
  }));
