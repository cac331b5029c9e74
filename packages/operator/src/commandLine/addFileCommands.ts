import type sade from 'sade';
import { checkRouting } from '../routing/checkRouting.js';
import { checkSettingsFile } from '../settings/checkSettingsFile.js';
import type { Command } from './command.js';
import type { CommandOptions } from './commandOptions.js';

/** Adds the commands that check files and need no session. */
export const addFileCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('settings check <file>', 'Check a settings file or a configuration document.')
    .describe('Check a settings file or a configuration document. Reports all faults at once.')
    .option('--as', 'Kind of the document, when its fields do not identify it')
    .example('settings check side.json')
    .action((file: string, options: CommandOptions): Command => {
      return {
        type: 'files',
        options,
        run: (environment) => checkSettingsFile(environment, file, options.as),
      };
    })
    .command('routing check <file>')
    .describe(
      'Check a routing document as a whole: entries that never match, limits that contradict.',
    )
    .option('--against', 'Another routing document, to show the differences from it')
    .example('routing check routing.json --against routing-in-force.json')
    .action((file: string, options: CommandOptions): Command => {
      return {
        type: 'files',
        options,
        run: (environment) => checkRouting(environment, file, options.against),
      };
    });
