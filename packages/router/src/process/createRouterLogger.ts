import { default as bunyan } from 'bunyan';
import type { BoundedOutput } from './boundedOutput.js';
import type { RouterLogger } from './routerLogger.js';

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
            output.write(String(line));
          },
        },
      },
    ],
  });
