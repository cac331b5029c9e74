import type { DisposalStack } from './disposalStack.js';

/** Creates an empty stack. Node 20 has `Symbol.asyncDispose` but no `AsyncDisposableStack`. */
export const createDisposalStack = (): DisposalStack => {
  const disposers: (() => void | Promise<void>)[] = [];
  return {
    use: (resource) => {
      disposers.push(() => Promise.resolve(resource[Symbol.asyncDispose]()));
      return resource;
    },
    defer: (dispose) => {
      disposers.push(dispose);
    },
    [Symbol.asyncDispose]: async () => {
      for (let disposer = disposers.pop(); disposer !== undefined; disposer = disposers.pop()) {
        await disposer();
      }
    },
  };
};
