import sade from 'sade';
import { diffConfiguration } from '../configuration/diffConfiguration.js';
import { publishConfiguration } from '../configuration/publishConfiguration.js';
import { showConfiguration } from '../configuration/showConfiguration.js';
import { changeHost } from '../host/changeHost.js';
import { listPresets } from '../preset/listPresets.js';
import { usePreset } from '../preset/usePreset.js';
import { checkSettingsFile } from '../settings/checkSettingsFile.js';
import { showStatus } from '../status/showStatus.js';
import { watchStatus } from '../status/watchStatus.js';
import type { Command } from './command.js';
import type { CommandOptions } from './commandOptions.js';

type RunSession = Extract<Command, { readonly type: 'session' }>['run'];

const newSessionCommand = (options: CommandOptions, run: RunSession): Command => ({
  type: 'session',
  options,
  run,
});

const addFileCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('settings check <file>', 'Check a settings file or a configuration document.')
    .describe('Check a settings file or a configuration document. Names every fault at once.')
    .option('--as', 'Kind of the document, where its fields do not tell')
    .example('settings check side.json')
    .action((file: string, options: CommandOptions): Command => {
      return { type: 'files', options, run: (world) => checkSettingsFile(world, file, options.as) };
    });

const addConfigurationCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('configuration publish <file>')
    .describe('Publish a configuration document. The difference is shown first.')
    .example('configuration publish nilegate.json --settings operator.json')
    .action((file: string, options: CommandOptions) =>
      newSessionCommand(options, (session) => publishConfiguration(session, file)),
    )
    .command('configuration diff <file>')
    .describe('Show how a document differs from the one in force. Changes nothing.')
    .example('configuration diff nilegate.json --settings operator.json')
    .action((file: string, options: CommandOptions) =>
      newSessionCommand(options, (session) => diffConfiguration(session, file)),
    )
    .command('configuration show')
    .describe('Show the configuration in force.')
    .example('configuration show --settings operator.json --json')
    .action((options: CommandOptions) => newSessionCommand(options, showConfiguration));

const addPresetCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('preset list')
    .describe('List the presets and say which is in force.')
    .example('preset list --settings operator.json')
    .action((options: CommandOptions) => newSessionCommand(options, listPresets))
    .command('preset use <name>')
    .describe('Put a preset in force.')
    .example('preset use peak --settings operator.json')
    .action((name: string, options: CommandOptions) =>
      newSessionCommand(options, (session) => usePreset(session, name)),
    );

const addHostCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('host drain <name>')
    .describe('Drain a host. It gets no new work and finishes what it runs.')
    .example('host drain maadi-3 --settings operator.json')
    .action((name: string, options: CommandOptions) =>
      newSessionCommand(options, (session) => changeHost(session, 'drainHost', name)),
    )
    .command('host restore <name>')
    .describe('Take a drained host back into service.')
    .example('host restore maadi-3 --settings operator.json')
    .action((name: string, options: CommandOptions) =>
      newSessionCommand(options, (session) => changeHost(session, 'restoreHost', name)),
    );

const addStatusCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('status')
    .describe('Show the processes, their configuration and load, and what is shed.')
    .option('--watch', 'Show it again every two seconds')
    .example('status --settings operator.json --watch')
    .action((options: CommandOptions) =>
      newSessionCommand(options, options.watch ? watchStatus : showStatus),
    );

// Under help and version the library prints and returns nothing, which its types leave out.
const parseLazily = (
  program: sade.Sade,
  programArguments: readonly string[],
): sade.LazyOutput | undefined =>
  program.parse(['', '', ...programArguments], {
    lazy: true,
    string: ['settings', 'as', 'html'],
    boolean: ['json', 'watch'],
    unknown: (flag) => `Unknown option: ${flag}`,
  });

/**
 * Parses the arguments. Undefined when only help or the version was asked for and printed; bad use prints why and
 * ends the process, as the library does it.
 */
export const parseCommandLine = (programArguments: readonly string[]): Command | undefined => {
  const program = sade('parsleyhall')
    .version('0.1.0')
    .option('--settings', "File of the operator's settings")
    .option('--json', 'Print JSON for a program to read');
  addFileCommands(program);
  addConfigurationCommands(program);
  addPresetCommands(program);
  addHostCommands(program);
  addStatusCommands(program);
  const parsed = parseLazily(program, programArguments);
  return parsed?.handler(...parsed.args) as Command | undefined;
};
