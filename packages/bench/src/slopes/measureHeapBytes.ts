import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Heap that a value takes, in bytes, as the difference after full collections. */
export const measureHeapBytes = (create: () => unknown): number => {
  setFlagsFromString('--expose-gc');
  const collectOnce = runInNewContext('gc') as () => void;
  const collect = (): void => {
    collectOnce();
    collectOnce();
  };
  collect();
  const before = process.memoryUsage().heapUsed;
  const value = create();
  collect();
  const after = process.memoryUsage().heapUsed;
  return value === undefined ? 0 : after - before;
};
