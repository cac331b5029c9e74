import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

const run = promisify(execFile);

/** The commit that is measured, with a mark when files differ from it; `unknown` outside a clone. */
export const getCommit = async (): Promise<string> => {
  try {
    const { stdout } = await run('git', ['describe', '--always', '--dirty', '--abbrev=12']);
    return stdout.trim();
  } catch {
    return 'unknown';
  }
};
