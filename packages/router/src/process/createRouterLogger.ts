import { default as bunyan } from 'bunyan';
import type { BoundedOutput } from './boundedOutput.js';
import type { RouterLogger } from './routerLogger.js';

// The library hands its streams whole lines, whatever its types say.
const isLine = (value: unknown): value is string => typeof value === 'string';

/** Logs JSON lines to the output, each with the names of the host and its data centre. */
export const createRouterLogger = ({
  host,
  dataCentre,
  output,
}: {
  readonly host: string;
  readonly dataCentre: string;
  readonly output: BoundedOutput;
}): RouterLogger =>
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
              output.write(line);
            }
          },
        },
      },
    ],
  });
