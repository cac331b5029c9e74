import { spawn } from 'node:child_process';
import { once } from 'node:events';

const SPIN = 'const end = Date.now() + Number(process.argv[1]); while (Date.now() < end);';

/** Takes the processor with so many processes for so long; they end by themselves. */
export const starve = async (processes: number, forMs: number): Promise<void> => {
  const started = Array.from({ length: processes }, () =>
    spawn(process.execPath, ['-e', SPIN, String(forMs)], { stdio: 'ignore' }),
  );
  await Promise.all(started.map((one) => once(one, 'exit')));
};
