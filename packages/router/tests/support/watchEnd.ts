import type { RawCaller } from './rawCaller.js';

/** Resolves with how the caller's connection ended: with a reset or in order. */
export const watchEnd = ({ socket }: RawCaller): Promise<'reset' | 'orderly'> =>
  new Promise((resolve) => {
    socket.once('error', () => {
      resolve('reset');
    });
    socket.once('end', () => {
      resolve('orderly');
    });
  });
