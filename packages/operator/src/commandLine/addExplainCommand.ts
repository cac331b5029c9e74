import type sade from 'sade';
import { explainRequest } from '../explain/explainRequest.js';
import type { Command } from './command.js';
import type { CommandOptions } from './commandOptions.js';

/** Adds the command that explains a request from log lines. */
export const addExplainCommand = (program: sade.Sade): sade.Sade =>
  program
    .command('explain <id>')
    .describe(
      'Explain from log lines what became of a request. Reads the files named after the id, or standard input.',
    )
    .example('explain 9c41d07be2a35f68 front-1.log front-2.log')
    .action((id: string, options: CommandOptions): Command => {
      return {
        type: 'files',
        options,
        run: (environment) => explainRequest(environment, id, options._),
      };
    });
