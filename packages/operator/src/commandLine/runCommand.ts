import { type Either, EitherAsync } from 'purify-ts';
import { formatFailure } from '../failure/formatFailure.js';
import { getExitCode } from '../failure/getExitCode.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { operatorSettingsSchema } from '../settings/operatorSettingsSchema.js';
import { readDocument } from '../settings/readDocument.js';
import type { Command } from './command.js';
import type { CommandOutput } from './commandOutput.js';
import type { OperatorWorld } from './operatorWorld.js';

const runInSession = (
  command: Extract<Command, { readonly type: 'session' }>,
  world: OperatorWorld,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const file = command.options.settings;
    if (file === undefined || file === '') {
      return steps.throwE({
        type: 'badUse',
        detail: "Name the operator's settings by --settings FILE.",
      });
    }
    const settings = await steps.fromPromise(readDocument(world, file, operatorSettingsSchema));
    await using log = world.openLog(settings.log.address);
    await using hostList = world.openHostList(settings.hostList.address);
    return await steps.fromPromise(command.run({ world, settings, log, hostList }));
  });

const printOutput = (world: OperatorWorld, output: CommandOutput, isJson: boolean): number => {
  const text = isJson ? JSON.stringify(output.json, undefined, 2) : output.text;
  if (text !== '') {
    world.print(text);
  }
  return 0;
};

const printFailure = (world: OperatorWorld, failure: OperatorFailure, isJson: boolean): number => {
  if (isJson) {
    world.print(JSON.stringify({ failure }, undefined, 2));
  }
  world.printError(formatFailure(failure));
  return getExitCode(failure);
};

/** Runs a command and prints its result or its failure; gives the exit code. */
export const runCommand = async (command: Command, world: OperatorWorld): Promise<number> => {
  const { json } = command.options;
  const result: Either<OperatorFailure, CommandOutput> =
    command.type === 'files'
      ? await command.run(world).run()
      : await runInSession(command, world).run();
  return result.caseOf({
    Left: (failure) => printFailure(world, failure, json),
    Right: (output) => printOutput(world, output, json),
  });
};
