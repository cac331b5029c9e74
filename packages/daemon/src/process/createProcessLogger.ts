import { default as bunyan } from 'bunyan';
import type { LogLevelString } from 'bunyan';
import type { ProcessLogger } from './processLogger.js';

/** Creates a logger that writes JSON lines to standard output, each with the process, its host and its data centre. */
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
