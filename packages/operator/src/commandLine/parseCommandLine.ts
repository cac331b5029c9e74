import { EitherAsync, Left } from 'purify-ts';
import sade from 'sade';
import { diffConfiguration } from '../configuration/diffConfiguration.js';
import { publishConfiguration } from '../configuration/publishConfiguration.js';
import { showConfiguration } from '../configuration/showConfiguration.js';
import { explainRequest } from '../explain/explainRequest.js';
import { changeHost } from '../host/changeHost.js';
import { settleKey } from '../key/settleKey.js';
import { showKey } from '../key/showKey.js';
import { listPresets } from '../preset/listPresets.js';
import { usePreset } from '../preset/usePreset.js';
import { reportBurn } from '../report/reportBurn.js';
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

const addExplainCommand = (program: sade.Sade): sade.Sade =>
  program
    .command('explain <id>')
    .describe(
      'Explain a request from log lines. Reads the files named after the id, or standard input.',
    )
    .example('explain 9c41d07be2a35f68 front-1.log front-2.log')
    .action((id: string, options: CommandOptions): Command => {
      return { type: 'files', options, run: (world) => explainRequest(world, id, options._) };
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

const addKeyCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('key show <key>')
    .describe('Show who owns an idempotency key and what became of its run.')
    .example('key show 0190b3a2-7c1e-7f00-8a11-2b3c4d5e6f70 --settings operator.json')
    .action((key: string, options: CommandOptions) =>
      newSessionCommand(options, (session) => showKey(session, key)),
    )
    .command('key settle <key>')
    .describe('Record the outcome that you found out of a run whose outcome was unknown.')
    .option('--as', 'The outcome: not-run or done')
    .option('--owner-gone', 'Settle a key that still counts as running: its entry is gone for good')
    .example(
      'key settle 0190b3a2-7c1e-7f00-8a11-2b3c4d5e6f70 --as not-run --settings operator.json',
    )
    .action((key: string, options: CommandOptions) =>
      newSessionCommand(options, (session) =>
        settleKey(session, key, {
          outcome: options.as,
          isOwnerGone: options['owner-gone'] ?? false,
        }),
      ),
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

const MS_PER_MINUTE = 60_000;
const LONG_WINDOW_MINUTES = 1_440;
const SHORT_WINDOW_MINUTES = 60;

const runBurnReport = (options: CommandOptions): Command => {
  const longMinutes = Number(options.long ?? LONG_WINDOW_MINUTES);
  const shortMinutes = Number(options.short ?? SHORT_WINDOW_MINUTES);
  const isOrdered = shortMinutes > 0 && shortMinutes <= longMinutes && Number.isFinite(longMinutes);
  const windows = {
    longWindowMs: longMinutes * MS_PER_MINUTE,
    shortWindowMs: shortMinutes * MS_PER_MINUTE,
    htmlFile: options.html,
  };
  return newSessionCommand(options, (session) =>
    isOrdered
      ? reportBurn(session, windows)
      : EitherAsync.liftEither(
          Left({
            type: 'badUse',
            detail: '--short and --long take minutes above 0, the short window within the long.',
          }),
        ),
  );
};

const addReportCommands = (program: sade.Sade): sade.Sade =>
  program
    .command('report burn')
    .describe('Report objectives, error budgets and wasted prefill, by tier and team.')
    .option('--long', `Long window in minutes; ${LONG_WINDOW_MINUTES} by default`)
    .option('--short', `Short window in minutes; ${SHORT_WINDOW_MINUTES} by default`)
    .option('--html', 'Write a page with plots to this file as well')
    .example('report burn --settings operator.json --html burn.html')
    .action(runBurnReport);

// Under help and version the library prints and returns nothing, which its types leave out.
const parseLazily = (
  program: sade.Sade,
  programArguments: readonly string[],
): sade.LazyOutput | undefined =>
  program.parse(['', '', ...programArguments], {
    lazy: true,
    string: ['settings', 'as', 'html', 'long', 'short'],
    boolean: ['json', 'watch', 'owner-gone'],
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
