import type { Deferred } from './deferred.js';

/** Creates a deferred promise that is pending. */
export const createDeferred = (): Deferred => {
  let resolvePromise: () => void = () => undefined;
  const promise = new Promise<void>((resolve) => {
    resolvePromise = resolve;
  });
  return {
    resolve: () => {
      resolvePromise();
    },
    promise,
  };
};
