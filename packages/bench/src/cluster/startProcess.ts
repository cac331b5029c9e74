import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
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

const RUNNING = new Set<ChildProcess>();

// Nothing that was started here may outlive this process, however it ends.
process.once('exit', () => {
  for (const child of RUNNING) {
    child.kill('SIGKILL');
  }
});

/** Starts a Node.js process and resolves once it says that it listens. */
export const startProcess = async (plan: ProcessPlan): Promise<RunningProcess> => {
  const child = spawn(process.execPath, [...process.execArgv, plan.script, ...plan.arguments], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = createWriteStream(plan.logFile, { flags: 'a' });
  child.stderr.pipe(log, { end: false });
  const exited = once(child, 'exit');
  RUNNING.add(child);
  child.once('exit', () => RUNNING.delete(child));

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
