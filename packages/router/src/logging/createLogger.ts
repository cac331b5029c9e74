import { default as bunyan } from 'bunyan';
import type { LogLevelString } from 'bunyan';
import type { BoundedOutput } from './boundedOutput.js';
import type { Logger } from './logger.js';
import { PROCESS_LOG_EVENTS } from './processLogEvents.js';

const EMPTY_MESSAGE = '';

// Bunyan passes complete lines to its streams, although its types say that they are objects.
const isString = (value: unknown): value is string => typeof value === 'string';

/** Creates a logger that writes JSON lines of a level or above, each with the names of process, host and data centre. */
export const createLogger = ({
  process,
  host,
  dataCentre,
  level,
  output,
}: {
  readonly process: string;
  readonly host: string;
  readonly dataCentre: string;
  readonly level: LogLevelString;
  readonly output: BoundedOutput;
}): Logger => {
  const createBunyanLogger = (writeLine: (line: string) => void): bunyan =>
    bunyan.createLogger({
      name: 'parsleyhalld',
      process,
      host,
      dataCentre,
      streams: [
        {
          level,
          stream: {
            write: (line: object) => {
              if (isString(line)) {
                writeLine(line);
              }
            },
          },
        },
      ],
    });
  const processLogger = createBunyanLogger(output.writePriority);
  const decisionLogger = createBunyanLogger(output.write);
  output.setDropReporter((droppedLines) => {
    processLogger.warn({ event: 'linesLeftOut', lines: droppedLines }, EMPTY_MESSAGE);
  });
  return {
    write: ({ name, fields }) => {
      processLogger[PROCESS_LOG_EVENTS[name].level]({ event: name, ...fields }, EMPTY_MESSAGE);
    },
    writeDecision: ({ name, fields }) => {
      decisionLogger.info({ event: name, ...fields }, EMPTY_MESSAGE);
    },
  };
};
