import { type Either, EitherAsync } from 'purify-ts';
import { formatFailure } from '../failure/formatFailure.js';
import { getExitCode } from '../failure/getExitCode.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { operatorSettingsSchema } from '../settings/operatorSettingsSchema.js';
import { readDocument } from '../settings/readDocument.js';
import type { Command } from './command.js';
import type { CommandOutput } from './commandOutput.js';
import type { OperatorEnvironment } from './operatorEnvironment.js';

const runInSession = (
  command: Extract<Command, { readonly type: 'session' }>,
  environment: OperatorEnvironment,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const file = command.options.settings;
    if (file === undefined || file === '') {
      return steps.throwE({
        type: 'badUse',
        detail: "Name the operator's settings file with --settings FILE.",
      });
    }
    const settings = await steps.fromPromise(
      readDocument(environment, file, operatorSettingsSchema),
    );
    await using log = environment.openLog(settings.log.address);
    await using hostList = environment.openHostList(settings.hostList.address);
    return await steps.fromPromise(command.run({ environment, settings, log, hostList }));
  });

const printOutput = (
  environment: OperatorEnvironment,
  output: CommandOutput,
  isJson: boolean,
): number => {
  const text = isJson ? JSON.stringify(output.json, undefined, 2) : output.text;
  if (text !== '') {
    environment.print(text);
  }
  return 0;
};

const printFailure = (
  environment: OperatorEnvironment,
  failure: OperatorFailure,
  isJson: boolean,
): number => {
  if (isJson) {
    environment.print(JSON.stringify({ failure }, undefined, 2));
  }
  environment.printError(formatFailure(failure));
  return getExitCode(failure);
};

/** Runs a command, prints its result or its failure, and returns the exit code. */
export const runCommand = async (
  command: Command,
  environment: OperatorEnvironment,
): Promise<number> => {
  const { json } = command.options;
  const result: Either<OperatorFailure, CommandOutput> =
    command.type === 'files'
      ? await command.run(environment).run()
      : await runInSession(command, environment).run();
  return result.caseOf({
    Left: (failure) => printFailure(environment, failure, json),
    Right: (output) => printOutput(environment, output, json),
  });
};
