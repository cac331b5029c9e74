import { default as bunyan } from 'bunyan';
import type { BoundedOutput } from './boundedOutput.js';
import type { LineWriter } from './lineWriter.js';
import { PROCESS_LINES } from './processLines.js';

const NO_MESSAGE = '';

// The library hands its streams whole lines, whatever its types say.
const isLine = (value: unknown): value is string => typeof value === 'string';

/** Writes JSON lines to the output, each with the names of the host and its data centre. */
export const createLineWriter = ({
  host,
  dataCentre,
  output,
}: {
  readonly host: string;
  readonly dataCentre: string;
  readonly output: BoundedOutput;
}): LineWriter => {
  const createLogger = (put: (line: string) => void): bunyan =>
    bunyan.createLogger({
      name: 'parsleyhalld',
      process: 'router',
      host,
      dataCentre,
      streams: [
        {
          level: 'info',
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
  const process = createLogger(output.writeFirst);
  const decisions = createLogger(output.write);
  output.whenLeftOut((lines) => {
    process.warn({ event: 'linesLeftOut', lines }, NO_MESSAGE);
  });
  return {
    write: ({ name, fields }) => {
      process[PROCESS_LINES[name].level]({ event: name, ...fields }, NO_MESSAGE);
    },
    observe: ({ name, fields }) => {
      decisions.info({ event: name, ...fields }, NO_MESSAGE);
    },
  };
};
