import type { DeliberateFault } from './deliberateFault.js';

/** Faults against one run at most for an idempotency key. */
export const KEY_FAULTS: readonly DeliberateFault[] = [
  {
    name: 'a start not read back',
    promise: 'nonIdempotentAtMostOnce',
    kinds: ['loseAppendAnswers', 'logSlow'],
    entry: { mustReadBackClaim: () => false },
  },
  {
    name: 'a key that belongs to whoever asks',
    promise: 'nonIdempotentAtMostOnce',
    kinds: ['logSlow'],
    entry: { ownsKey: () => true },
  },
  {
    name: 'a key older than the log',
    promise: 'nonIdempotentAtMostOnce',
    kinds: ['killEntry'],
    entry: { checkKeyAge: () => undefined },
  },
];
