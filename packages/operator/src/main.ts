#!/usr/bin/env node
import { createOperatorWorld } from './commandLine/createOperatorWorld.js';
import { parseCommandLine } from './commandLine/parseCommandLine.js';
import { runCommand } from './commandLine/runCommand.js';

const BAD_USE_EXIT_CODE = 2;

const stop = new AbortController();
process.once('SIGINT', () => {
  stop.abort();
});

// The argument library ends the process with 1 on bad use; here 1 says that a command ran and failed.
const markBadUse = (code: number): void => {
  process.exitCode = code === 0 ? 0 : BAD_USE_EXIT_CODE;
};
process.once('exit', markBadUse);
const command = parseCommandLine(process.argv.slice(2));
process.off('exit', markBadUse);

if (command !== undefined) {
  await using world = createOperatorWorld(stop.signal);
  process.exitCode = await runCommand(command, world);
}
