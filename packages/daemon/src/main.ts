#!/usr/bin/env node
import { default as sade } from 'sade';
import { startEntry } from './entryShell/startEntry.js';
import { EXIT_CODES } from './process/exitCodes.js';
import { entrySettingsFileSchema } from './settings/entrySettingsFileSchema.js';
import { startRouterProcess } from './routerShell/startRouterProcess.js';
import { routerSettingsFileSchema } from './settings/routerSettingsFileSchema.js';
import { sideSettingsFileSchema } from './settings/sideSettingsFileSchema.js';
import { startSide } from './sideShell/startSide.js';
import { startFromFile } from './startFromFile.js';

const VERSION = '0.1.0';

const withSettings =
  (run: (path: string) => Promise<number>) =>
  async (options: { readonly settings?: unknown }): Promise<void> => {
    if (typeof options.settings !== 'string') {
      process.stderr.write('expected --settings FILE\n');
      process.exit(EXIT_CODES.badUse);
    }
    process.exit(await run(options.settings));
  };

sade('parsleyhalld')
  .version(VERSION)
  .command('entry', 'Take callers and bind their requests to targets')
  .option('--settings', 'Settings file of the entry, JSON')
  .example('entry --settings entry.json')
  .action(
    withSettings((path) =>
      startFromFile({ path, schema: entrySettingsFileSchema, start: startEntry }),
    ),
  )
  .command('side', 'Be the one gate to a target')
  .option('--settings', 'Settings file of the side process, JSON')
  .example('side --settings side.json')
  .action(
    withSettings((path) =>
      startFromFile({ path, schema: sideSettingsFileSchema, start: startSide }),
    ),
  )
  .command('router', 'Take callers and call the targets itself, after a routing document')
  .option('--settings', 'Settings file of the router, JSON')
  .example('router --settings router.json')
  .action(
    withSettings((path) =>
      startFromFile({ path, schema: routerSettingsFileSchema, start: startRouterProcess }),
    ),
  )
  .parse(process.argv);
