import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { z } from 'zod';
import type { MeasuredRouter } from './measuredRouter.js';

const MAIN = fileURLToPath(new URL('./routerProcess.js', import.meta.url));
const MICROSECONDS_PER_SECOND = 1_000_000;
const NEWLINE = 10;
const begun = z.object({ address: z.string() });
const ended = z.object({ cpuMicroseconds: z.number() });

/** Starts a router that writes lines, or none, in front of a target. */
export const startMeasuredRouter = async (
  targetAddress: string,
  mode: 'on' | 'off',
): Promise<MeasuredRouter> => {
  const child = fork(MAIN, [targetAddress, mode], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] });
  let lines = 0;
  let bytes = 0;
  child.stdout?.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    lines += chunk.filter((byte) => byte === NEWLINE).length;
  });
  const [first] = (await once(child, 'message')) as [unknown];
  return {
    address: begun.parse(first).address,
    finish: async () => {
      child.send('finish');
      const [last] = (await once(child, 'message')) as [unknown];
      const { cpuMicroseconds } = ended.parse(last);
      await once(child, 'exit');
      return { cpuSeconds: cpuMicroseconds / MICROSECONDS_PER_SECOND, lines, bytes };
    },
  };
};
