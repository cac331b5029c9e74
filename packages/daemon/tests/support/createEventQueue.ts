import { EventEmitter, once } from 'node:events';

/** Gathers names of events in order; each can be awaited once. */
export const createEventQueue = () => {
  const emitter = new EventEmitter();
  const all: string[] = [];
  let taken = 0;
  return {
    push: (name: string): void => {
      all.push(name);
      emitter.emit('pushed');
    },
    getAll: (): readonly string[] => all,
    /** Resolves when the next event has come; rejects when it is another one. */
    expectNext: async (name: string): Promise<void> => {
      while (all.length <= taken) {
        await once(emitter, 'pushed');
      }
      const next = all[taken];
      taken += 1;
      if (next !== name) {
        throw new Error(`expected ${name}, got ${next ?? ''} after ${all.join(', ')}`);
      }
    },
  };
};
