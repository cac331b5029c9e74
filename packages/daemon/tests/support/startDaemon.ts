import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { DaemonProcess } from './daemonProcess.js';

type Line = Readonly<Record<string, unknown>>;

const MAIN_SCRIPT = fileURLToPath(new URL('../../dist/main.js', import.meta.url));

const parseLine = (text: string): Line => {
  try {
    return JSON.parse(text) as Line;
  } catch {
    return { text };
  }
};

const matches = (line: Line, fields: Line): boolean =>
  Object.entries(fields).every(([name, value]) => line[name] === value);

/** Starts `parsleyhalld` as a child process and waits until it is listening. */
export const startDaemon = async (
  kind: 'entry' | 'side' | 'router',
  settings: object,
): Promise<DaemonProcess> => {
  const directory = mkdtempSync(join(tmpdir(), 'parsleyhall-'));
  const path = join(directory, 'settings.json');
  writeFileSync(path, JSON.stringify(settings));
  const child = spawn(process.execPath, [MAIN_SCRIPT, kind, '--settings', path], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const lines: Line[] = [];
  const errors: string[] = [];
  const waiters = new Set<(line: Line) => void>();
  createInterface({ input: child.stdout }).on('line', (text) => {
    const line = parseLine(text);
    lines.push(line);
    waiters.forEach((waiter) => {
      waiter(line);
    });
  });
  child.stderr.on('data', (bytes: Buffer) => errors.push(bytes.toString('utf8')));
  const exited = once(child, 'exit').then(([code]) => code as number | null);

  const waitForLine = (fields: Line): Promise<Line> => {
    const pastLine = lines.find((line) => matches(line, fields));
    if (pastLine !== undefined) {
      return Promise.resolve(pastLine);
    }
    return new Promise((resolve, reject) => {
      const waiter = (line: Line): void => {
        if (matches(line, fields)) {
          waiters.delete(waiter);
          resolve(line);
        }
      };
      waiters.add(waiter);
      void exited.then((code) => {
        const summary = `${kind} ended with ${code ?? 'a signal'} before ${JSON.stringify(fields)}`;
        reject(
          new Error([summary, ...errors, ...lines.map((line) => JSON.stringify(line))].join('\n')),
        );
      });
    });
  };

  const listening = await waitForLine({ event: 'listening' });
  return {
    listeners: listening as Readonly<Record<string, string>>,
    signal: (signal) => {
      child.kill(signal);
    },
    exited,
    waitForLine,
    [Symbol.asyncDispose]: async () => {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGKILL');
        await exited;
      }
      rmSync(directory, { recursive: true, force: true });
    },
  };
};
