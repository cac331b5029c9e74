#!/usr/bin/env node
import { default as sade } from 'sade';
import { startEntry } from './entryProcess/startEntry.js';
import { EXIT_CODES } from './process/exitCodes.js';
import { entrySettingsFileSchema } from './settings/entrySettingsFileSchema.js';
import { startRouterProcess } from './routerProcess/startRouterProcess.js';
import { routerSettingsFileSchema } from './settings/routerSettingsFileSchema.js';
import { sideSettingsFileSchema } from './settings/sideSettingsFileSchema.js';
import { startSide } from './sideProcess/startSide.js';
import { startFromFile } from './startFromFile.js';

const VERSION = '0.1.0';

const runWithSettings =
  (run: (path: string) => Promise<number>) =>
  async (options: { readonly settings?: unknown }): Promise<void> => {
    if (typeof options.settings !== 'string') {
      process.stderr.write('expected --settings FILE\n');
      process.exit(EXIT_CODES.usageError);
    }
    process.exit(await run(options.settings));
  };

sade('parsleyhalld')
  .version(VERSION)
  .command('entry', 'Accept callers and schedule their requests onto targets')
  .option('--settings', 'Settings file of the entry, JSON')
  .example('entry --settings entry.json')
  .action(
    runWithSettings((path) =>
      startFromFile({ path, schema: entrySettingsFileSchema, start: startEntry }),
    ),
  )
  .command('side', 'Run beside a target and control all access to it')
  .option('--settings', 'Settings file of the side process, JSON')
  .example('side --settings side.json')
  .action(
    runWithSettings((path) =>
      startFromFile({ path, schema: sideSettingsFileSchema, start: startSide }),
    ),
  )
  .command(
    'router',
    'Accept callers and send their requests to targets according to a routing document',
  )
  .option('--settings', 'Settings file of the router, JSON')
  .example('router --settings router.json')
  .action(
    runWithSettings((path) =>
      startFromFile({ path, schema: routerSettingsFileSchema, start: startRouterProcess }),
    ),
  )
  .parse(process.argv);
