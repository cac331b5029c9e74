import type { DisposalStack } from './disposalStack.js';

/** Creates an empty stack; Node 20 has the symbol, but not the class for it. */
export const createDisposalStack = (): DisposalStack => {
  const steps: (() => void | Promise<void>)[] = [];
  return {
    use: (resource) => {
      steps.push(() => Promise.resolve(resource[Symbol.asyncDispose]()));
      return resource;
    },
    defer: (dispose) => {
      steps.push(dispose);
    },
    [Symbol.asyncDispose]: async () => {
      for (let step = steps.pop(); step !== undefined; step = steps.pop()) {
        await step();
      }
    },
  };
};
