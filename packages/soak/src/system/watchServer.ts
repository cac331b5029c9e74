import type { Server, Socket } from 'node:net';
import { createReadDelayMonitor } from '@parsleyhall/router/reading';
import { getNowMs } from './getNowMs.js';

const TICK_MS = 5;

interface ServerWatch extends Disposable {
  /** The earliest moment at which what is read now for the first time on the connection may have come. */
  readonly getEarliestMs: (socket: Socket) => number;
}

/** Knows how late this process reads what comes to a server of its own, so that its delay is laid to nobody. */
export const watchServer = (server: Server): ServerWatch => {
  const watch = createReadDelayMonitor({
    getNowMs,
    reportAcceptBacklog: () => undefined,
    reportEventLoopStall: () => undefined,
  });
  server.on('connection', watch.recordConnection);
  const ticking = setInterval(watch.recordTick, TICK_MS);
  return {
    getEarliestMs: watch.getEarliestArrivalAtMs,
    [Symbol.dispose]: () => {
      clearInterval(ticking);
    },
  };
};
