#!/usr/bin/env node
import { createOperatorEnvironment } from './commandLine/createOperatorEnvironment.js';
import { parseCommandLine } from './commandLine/parseCommandLine.js';
import { runCommand } from './commandLine/runCommand.js';

const USAGE_ERROR_EXIT_CODE = 2;

const stop = new AbortController();
process.once('SIGINT', () => {
  stop.abort();
});

// On a usage error the argument library exits with 1, but here 1 means that a command ran and failed.
const setUsageErrorExitCode = (code: number): void => {
  process.exitCode = code === 0 ? 0 : USAGE_ERROR_EXIT_CODE;
};
process.once('exit', setUsageErrorExitCode);
const command = parseCommandLine(process.argv.slice(2));
process.off('exit', setUsageErrorExitCode);

if (command !== undefined) {
  await using environment = createOperatorEnvironment(stop.signal);
  process.exitCode = await runCommand(command, environment);
}
