import sade from 'sade';
import { exitOnSignals } from '../cluster/exitOnSignals.js';
import { measure } from './measure.js';
import { parseOptions } from './parseOptions.js';

const BAD_USE_EXIT_CODE = 2;

exitOnSignals();

const readOptions = (given: unknown) => {
  try {
    return parseOptions(given);
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    return undefined;
  }
};

sade('measure', true)
  .describe('Measure a policy against another on the same arrivals, with real processes.')
  .option('--deployment', 'nilegate or bureau', 'nilegate')
  .option('--load', 'Share of the capacity of the engines that arrives', 1.3)
  .option('--fault', 'none, burst, straggler, kill-side, kill-entry, log-outage or drain', 'none')
  .option(
    '--policy',
    'late-binding, round-robin, two-choices or least-loaded-report',
    'late-binding',
  )
  .option('--against', 'The other policy, or none', 'two-choices')
  .option('--without', 'Decisions that late binding does without, with commas between', '')
  .option('--seed', 'Seed of the arrivals', 1)
  .option('--seconds', 'Length of the arrivals', 14)
  .option('--scale', 'Engine milliseconds in a millisecond', 1)
  .option('--entry', 'Settings of the entries that differ, as JSON', '{}')
  .option('--side', 'Settings of the side processes that differ, as JSON', '{}')
  .option('--json', 'File for the figures', '')
  .example('--deployment bureau --load 1.3 --fault straggler')
  .action(async (given: unknown) => {
    const options = readOptions(given);
    if (options === undefined) {
      process.exitCode = BAD_USE_EXIT_CODE;
      return;
    }
    await measure(options);
  })
  .parse(process.argv);
