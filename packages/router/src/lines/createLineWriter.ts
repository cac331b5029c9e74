import { default as bunyan } from 'bunyan';
import type { LogLevelString } from 'bunyan';
import type { BoundedOutput } from './boundedOutput.js';
import type { LineWriter } from './lineWriter.js';
import { PROCESS_LINES } from './processLines.js';

const NO_MESSAGE = '';

// The library hands its streams whole lines, whatever its types say.
const isLine = (value: unknown): value is string => typeof value === 'string';

/** Writes JSON lines of a level or above to the output, each with the names of the process, its host and data centre. */
export const createLineWriter = ({
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
}): LineWriter => {
  const createLogger = (put: (line: string) => void): bunyan =>
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
              if (isLine(line)) {
                put(line);
              }
            },
          },
        },
      ],
    });
  const processLogger = createLogger(output.writeFirst);
  const decisionLogger = createLogger(output.write);
  output.whenLeftOut((lines) => {
    processLogger.warn({ event: 'linesLeftOut', lines }, NO_MESSAGE);
  });
  return {
    write: ({ name, fields }) => {
      processLogger[PROCESS_LINES[name].level]({ event: name, ...fields }, NO_MESSAGE);
    },
    observe: ({ name, fields }) => {
      decisionLogger.info({ event: name, ...fields }, NO_MESSAGE);
    },
  };
};
