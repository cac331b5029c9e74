import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import type { RunningProcess } from './runningProcess.js';

interface ProcessPlan {
  readonly name: string;
  readonly script: string;
  readonly arguments: readonly string[];
  /** File that takes all the process writes. */
  readonly logFile: string;
}

const END_ALLOWANCE_MS = 3_000;

const parseLine = (line: string): Readonly<Record<string, unknown>> => {
  try {
    return JSON.parse(line) as Readonly<Record<string, unknown>>;
  } catch {
    return {};
  }
};

/** Starts a Node.js process and resolves once it says that it listens. */
export const startProcess = async (plan: ProcessPlan): Promise<RunningProcess> => {
  const child = spawn(process.execPath, [...process.execArgv, plan.script, ...plan.arguments], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = createWriteStream(plan.logFile, { flags: 'a' });
  child.stderr.pipe(log, { end: false });
  const exited = once(child, 'exit');
  const killWithThis = (): void => {
    child.kill('SIGKILL');
  };
  process.once('exit', killWithThis);
  child.once('exit', () => process.off('exit', killWithThis));

  const end = async (
    signal: 'SIGTERM' | 'SIGKILL',
    allowanceMs = END_ALLOWANCE_MS,
  ): Promise<void> => {
    if (child.exitCode !== null || child.signalCode !== null) {
      return;
    }
    child.kill(signal);
    const killing = setTimeout(() => child.kill('SIGKILL'), allowanceMs);
    await exited;
    clearTimeout(killing);
  };

  const listening = await new Promise<Readonly<Record<string, unknown>>>((resolve, reject) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      log.write(`${line}\n`);
      const fields = parseLine(line);
      if (fields.event === 'listening') {
        resolve(fields);
      }
    });
    child.once('error', reject);
    child.once('exit', (code) => {
      reject(new Error(`${plan.name} ended with ${String(code)}; see ${plan.logFile}`));
    });
  });

  return {
    name: plan.name,
    pid: child.pid ?? 0,
    listening,
    end,
    [Symbol.asyncDispose]: () => end('SIGTERM'),
  };
};
