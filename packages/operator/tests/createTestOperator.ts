import { Left, Right } from 'purify-ts';
import type { HostList, LogClient, ProcessStatus } from '@parsleyhall/clients';
import { type OperatorEnvironment, parseCommandLine, runCommand } from '@parsleyhall/operator';

interface CommandRun {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

interface TestOperator {
  /** Runs a command line, split at spaces. */
  readonly run: (line: string) => Promise<CommandRun>;
  /** Runs a command line with `--json`. */
  readonly runJson: (line: string) => Promise<unknown>;
  readonly written: ReadonlyMap<string, string>;
}

let publicationCount = 0;

/** Creates an operator whose commands run in this process, with the log and files in memory. */
export const createTestOperator = ({
  log,
  name,
  files = {},
  logs = {},
  input = '',
  hosts = [],
  statuses = {},
  nowMs = 0,
}: {
  readonly log: LogClient;
  readonly name: string;
  readonly files?: Readonly<Record<string, unknown>>;
  /** Files with plain text. */
  readonly logs?: Readonly<Record<string, string>>;
  /** Contents of standard input. */
  readonly input?: string;
  readonly hosts?: HostList['hosts'];
  readonly statuses?: Readonly<Record<string, ProcessStatus>>;
  readonly nowMs?: number;
}): TestOperator => {
  const written = new Map<string, string>();
  const settings = {
    log: { address: '127.0.0.1:1' },
    hostList: { address: '127.0.0.1:2' },
    operator: name,
  };
  const allFiles: Readonly<Record<string, unknown>> = { ...files, 'operator.json': settings };

  const createEnvironment = (print: string[], errors: string[]): OperatorEnvironment => ({
    openLog: () => log,
    openHostList: () => ({
      list: () => Promise.resolve(Right({ asOfMs: 0, hosts })),
      [Symbol.asyncDispose]: () => Promise.resolve(),
    }),
    getStatus: (address) => {
      const status = statuses[address];
      return Promise.resolve(
        status === undefined ? Left({ type: 'unavailable', detail: 'silent' }) : Right(status),
      );
    },
    readFile: (file) => {
      const text = file in allFiles ? JSON.stringify(allFiles[file]) : logs[file];
      return Promise.resolve(
        text === undefined
          ? Left({ type: 'fileUnreadable', file, detail: 'missing' })
          : Right(text),
      );
    },
    readInput: () => Promise.resolve(Right(input)),
    writeFile: (file, text) => {
      written.set(file, text);
      return Promise.resolve(Right(undefined));
    },
    print: (text) => {
      print.push(text);
    },
    printError: (text) => {
      errors.push(text);
    },
    createPublicationId: () => {
      publicationCount += 1;
      return `publication-${publicationCount}`;
    },
    getNowMs: () => nowMs,
    wait: () => Promise.resolve(),
    isStopped: () => false,
  });

  const run = async (line: string): Promise<CommandRun> => {
    const output: string[] = [];
    const errors: string[] = [];
    const command = parseCommandLine([...line.split(' '), '--settings', 'operator.json']);
    const exitCode =
      command === undefined ? -1 : await runCommand(command, createEnvironment(output, errors));
    return { exitCode, output: output.join('\n'), errors: errors.join('\n') };
  };

  return {
    run,
    runJson: async (line) => JSON.parse((await run(`${line} --json`)).output) as unknown,
    written,
  };
};
