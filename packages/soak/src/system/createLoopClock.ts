import { getNowMs } from './getNowMs.js';

const TICK_MS = 5;

interface LoopClock extends Disposable {
  /** The earliest moment at which what is read now for the first time may have come. */
  readonly getEarliestMs: () => number;
}

/** Knows how late this process reads, so that its own delay is laid to nobody. */
export const createLoopClock = (): LoopClock => {
  let tickMs = getNowMs();
  let tickBeforeMs = tickMs;
  const ticking = setInterval(() => {
    tickBeforeMs = tickMs;
    tickMs = getNowMs();
  }, TICK_MS);
  return {
    getEarliestMs: () => tickBeforeMs,
    [Symbol.dispose]: () => {
      clearInterval(ticking);
    },
  };
};
