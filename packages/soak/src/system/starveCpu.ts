import { spawn } from 'node:child_process';
import { once } from 'node:events';

const SPIN_SCRIPT = 'const end = Date.now() + Number(process.argv[1]); while (Date.now() < end);';

/** Starts processes that busy-loop for the given time and then exit. */
export const starveCpu = async (processes: number, forMs: number): Promise<void> => {
  const spinners = Array.from({ length: processes }, () =>
    spawn(process.execPath, ['-e', SPIN_SCRIPT, String(forMs)], { stdio: 'ignore' }),
  );
  await Promise.all(spinners.map((spinner) => once(spinner, 'exit')));
};
