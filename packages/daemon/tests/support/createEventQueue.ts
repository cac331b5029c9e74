import { EventEmitter, once } from 'node:events';

/** Creates a queue of event names; each event can be awaited once, in order. */
export const createEventQueue = () => {
  const emitter = new EventEmitter();
  const names: string[] = [];
  let nextIndex = 0;
  return {
    push: (name: string): void => {
      names.push(name);
      emitter.emit('pushed');
    },
    getAll: (): readonly string[] => names,
    /** Resolves when the next event has arrived; rejects when it has another name. */
    expectNext: async (name: string): Promise<void> => {
      while (names.length <= nextIndex) {
        await once(emitter, 'pushed');
      }
      const nextName = names[nextIndex];
      nextIndex += 1;
      if (nextName !== name) {
        throw new Error(`expected ${name}, got ${nextName ?? ''} after ${names.join(', ')}`);
      }
    },
  };
};
