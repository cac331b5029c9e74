import type { Latch } from './latch.js';

/** Creates a latch that is not open yet. */
export const createLatch = (): Latch => {
  let open: () => void = () => undefined;
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  return {
    open: () => {
      open();
    },
    opened,
  };
};
