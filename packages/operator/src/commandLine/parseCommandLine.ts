import { EitherAsync, Left } from 'purify-ts';
import sade from 'sade';
import { diffConfiguration } from '../configuration/diffConfiguration.js';
import { publishConfiguration } from '../configuration/publishConfiguration.js';
import { showConfiguration } from '../configuration/showConfiguration.js';
import { changeHost } from '../host/changeHost.js';
import { settleKey } from '../key/settleKey.js';
import { showKey } from '../key/showKey.js';
import { listPresets } from '../preset/listPresets.js';
import { usePreset } from '../preset/usePreset.js';
import { reportBurn } from '../report/reportBurn.js';
import { showStatus } from '../status/showStatus.js';
import { watchStatus } from '../status/watchStatus.js';
import { addExplainCommand } from './addExplainCommand.js';
import { addFileCommands } from './addFileCommands.js';
import type { Command } from './command.js';
import type { CommandOptions } from './commandOptions.js';

type RunSession = Extract<Command, { readonly type: 'session' }>['run'];

const createSessionCommand = (options: CommandOptions, run: RunSession): Command => ({
  type: 'session',
  options,
  run,
});

const addConfigurationCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('configuration publish <file>')
    .describe('Publish a configuration document. The difference is shown first.')
    .example('configuration publish nilegate.json --settings operator.json')
    .action((file: string, options: CommandOptions) =>
      createSessionCommand(options, (session) => publishConfiguration(session, file)),
    )
    .command('configuration diff <file>')
    .describe('Show how a document differs from the one in force. Changes nothing.')
    .example('configuration diff nilegate.json --settings operator.json')
    .action((file: string, options: CommandOptions) =>
      createSessionCommand(options, (session) => diffConfiguration(session, file)),
    )
    .command('configuration show')
    .describe('Show the configuration in force.')
    .example('configuration show --settings operator.json --json')
    .action((options: CommandOptions) => createSessionCommand(options, showConfiguration));

const addPresetCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('preset list')
    .describe('List the presets and show which is in force.')
    .example('preset list --settings operator.json')
    .action((options: CommandOptions) => createSessionCommand(options, listPresets))
    .command('preset use <name>')
    .describe('Put a preset in force.')
    .example('preset use peak --settings operator.json')
    .action((name: string, options: CommandOptions) =>
      createSessionCommand(options, (session) => usePreset(session, name)),
    );

const addHostCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('host drain <name>')
    .describe('Drain a host. It gets no new work and finishes what it runs.')
    .example('host drain maadi-3 --settings operator.json')
    .action((name: string, options: CommandOptions) =>
      createSessionCommand(options, (session) => changeHost(session, 'drainHost', name)),
    )
    .command('host restore <name>')
    .describe('Take a drained host back into service.')
    .example('host restore maadi-3 --settings operator.json')
    .action((name: string, options: CommandOptions) =>
      createSessionCommand(options, (session) => changeHost(session, 'restoreHost', name)),
    );

const addKeyCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('key show <key>')
    .describe('Show who owns an idempotency key and what became of its run.')
    .example('key show 0190b3a2-7c1e-7f00-8a11-2b3c4d5e6f70 --settings operator.json')
    .action((key: string, options: CommandOptions) =>
      createSessionCommand(options, (session) => showKey(session, key)),
    )
    .command('key settle <key>')
    .describe('Record the outcome, once you know it, of a run whose outcome was unknown.')
    .option('--as', 'The outcome: not-run or done')
    .option(
      '--owner-gone',
      'Settle a key that is still recorded as running: its entry is gone for good',
    )
    .example(
      'key settle 0190b3a2-7c1e-7f00-8a11-2b3c4d5e6f70 --as not-run --settings operator.json',
    )
    .action((key: string, options: CommandOptions) =>
      createSessionCommand(options, (session) =>
        settleKey(session, key, {
          outcome: options.as,
          isOwnerGone: options['owner-gone'] ?? false,
        }),
      ),
    );

const addStatusCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('status')
    .describe('Show the processes, their configuration and load, and which tiers they shed.')
    .option('--watch', 'Refresh every two seconds')
    .example('status --settings operator.json --watch')
    .action((options: CommandOptions) =>
      createSessionCommand(options, options.watch ? watchStatus : showStatus),
    );

const MS_PER_MINUTE = 60_000;
const DEFAULT_LONG_WINDOW_MINUTES = 1_440;
const DEFAULT_SHORT_WINDOW_MINUTES = 60;

const createBurnReportCommand = (options: CommandOptions): Command => {
  const longMinutes = Number(options.long ?? DEFAULT_LONG_WINDOW_MINUTES);
  const shortMinutes = Number(options.short ?? DEFAULT_SHORT_WINDOW_MINUTES);
  const areWindowsValid =
    shortMinutes > 0 && shortMinutes <= longMinutes && Number.isFinite(longMinutes);
  const windows = {
    longWindowMs: longMinutes * MS_PER_MINUTE,
    shortWindowMs: shortMinutes * MS_PER_MINUTE,
    htmlFile: options.html,
  };
  return createSessionCommand(options, (session) =>
    areWindowsValid
      ? reportBurn(session, windows)
      : EitherAsync.liftEither(
          Left({
            type: 'badUse',
            detail: '--short and --long take minutes above 0; --short must not exceed --long.',
          }),
        ),
  );
};

const addReportCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('report burn')
    .describe('Report objectives, error budgets and wasted prefill, by tier and team.')
    .option('--long', `Long window in minutes; ${DEFAULT_LONG_WINDOW_MINUTES} by default`)
    .option('--short', `Short window in minutes; ${DEFAULT_SHORT_WINDOW_MINUTES} by default`)
    .option('--html', 'Also write an HTML page with plots to this file')
    .example('report burn --settings operator.json --html burn.html')
    .action(createBurnReportCommand);

// For --help and --version the library prints and returns undefined, which its types omit.
const parseLazily = (
  program: sade.Sade,
  programArguments: readonly string[],
): sade.LazyOutput | undefined =>
  program.parse(['', '', ...programArguments], {
    lazy: true,
    string: ['settings', 'as', 'against', 'html', 'long', 'short'],
    boolean: ['json', 'watch', 'owner-gone'],
    unknown: (flag) => `Unknown option: ${flag}`,
  });

/**
 * Parses the arguments. Returns undefined after printing the help or the version; on a usage error the library prints
 * the reason and exits the process.
 */
export const parseCommandLine = (programArguments: readonly string[]): Command | undefined => {
  const program = sade('parsleyhall')
    .version('0.1.0')
    .option('--settings', "Path of the operator's settings file")
    .option('--json', 'Print machine-readable JSON');
  addFileCommands(program);
  addExplainCommand(program);
  addConfigurationCommands(program);
  addPresetCommands(program);
  addHostCommands(program);
  addKeyCommands(program);
  addStatusCommands(program);
  addReportCommands(program);
  const parsed = parseLazily(program, programArguments);
  return parsed?.handler(...parsed.args) as Command | undefined;
};
