import { default as bunyan } from 'bunyan';
import type { LogLevelString } from 'bunyan';
import type { ProcessLogger } from './processLogger.js';

/** Logs JSON lines to standard output, each with the names of the process, its host and data centre. */
export const createProcessLogger = ({
  process,
  host,
  dataCentre,
  logLevel,
}: {
  readonly process: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly logLevel: LogLevelString;
}): ProcessLogger =>
  bunyan.createLogger({ name: 'parsleyhalld', level: logLevel, process, host, dataCentre });
