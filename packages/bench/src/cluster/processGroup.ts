import { rm } from 'node:fs/promises';
import { join } from 'node:path';
import type { RunningProcess } from './runningProcess.js';
import { startProcess } from './startProcess.js';

/** The processes of a cluster by name, with their folder; disposing it ends them all. */
export class ProcessGroup implements AsyncDisposable {
  private readonly running = new Map<string, RunningProcess>();

  constructor(readonly folder: string) {}

  /** Starts a process that takes its name; a later one of the same name takes its place. */
  async start(name: string, script: string, args: readonly string[]): Promise<RunningProcess> {
    const logFile = join(this.folder, `${name}.log`);
    const started = await startProcess({ name, script, arguments: args, logFile });
    this.running.set(name, started);
    return started;
  }

  /** The process of a name; throws when there is none. */
  get(name: string): RunningProcess {
    const found = this.running.get(name);
    if (found === undefined) {
      throw new Error(`no process ${name}`);
    }
    return found;
  }

  /** Process ids of all. */
  getPids(): readonly number[] {
    return [...this.running.values()].map(({ pid }) => pid);
  }

  /** Ends all processes and leaves their logs. */
  async end(): Promise<void> {
    const latestFirst = [...this.running.values()].reverse();
    await Promise.all(latestFirst.map((one) => one.end('SIGTERM')));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.end();
    await rm(this.folder, { recursive: true, force: true });
  }
}
