import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';

const require = createRequire(import.meta.url);

/** Path of a built script of a package of the workspace. */
export const getScript = (packageName: string, script: string): string =>
  join(dirname(require.resolve(packageName)), script);
