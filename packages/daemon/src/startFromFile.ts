import { readFileSync } from 'node:fs';
import { Either } from 'purify-ts';
import type { z } from 'zod';
import type { DocumentFault } from '@parsleyhall/configuration';
import { createProcessLogger } from './process/createProcessLogger.js';
import { EXIT_CODES } from './process/exitCodes.js';
import type { ProcessLogger } from './process/processLogger.js';
import type { RunningProcess } from './process/runningProcess.js';
import { runUntilStopped } from './process/runUntilStopped.js';
import { toError } from './process/toError.js';
import { checkSettings } from './settings/checkSettings.js';

interface LoggerSettings {
  readonly process: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly logLevel: 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal';
}

const readText = (path: string): Either<readonly DocumentFault[], string> =>
  Either.encase(() => readFileSync(path, 'utf8')).mapLeft((error) => [
    { path: '', found: error.message, allowed: 'a readable file' },
  ]);

const printFaults = (path: string, faults: readonly DocumentFault[]): void => {
  for (const fault of faults) {
    process.stderr.write(
      `${path}: ${fault.path}: found ${fault.found}, allowed ${fault.allowed}\n`,
    );
  }
};

/** Starts a process of one kind with its settings file and runs it until it ends; returns the exit code. */
export const startFromFile = async <Settings extends LoggerSettings>({
  path,
  schema,
  start,
}: {
  readonly path: string;
  readonly schema: z.ZodType<Settings>;
  readonly start: (options: {
    readonly file: Settings;
    readonly logger: ProcessLogger;
  }) => Promise<RunningProcess>;
}): Promise<number> => {
  const run = async (file: Settings): Promise<number> => {
    const logger = createProcessLogger(file);
    try {
      await using running = await start({ file, logger });
      await runUntilStopped(running, logger);
      return EXIT_CODES.success;
    } catch (error) {
      logger.fatal({ event: 'failed', err: toError(error) }, 'process failed');
      return EXIT_CODES.failure;
    }
  };
  return readText(path)
    .chain((text) => checkSettings(schema, text))
    .caseOf({
      Left: (faults) => {
        printFaults(path, faults);
        return Promise.resolve(EXIT_CODES.failure as number);
      },
      Right: run,
    });
};
