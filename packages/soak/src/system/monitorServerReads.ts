import type { Server, Socket } from 'node:net';
import { createReadDelayMonitor } from '@parsleyhall/router/reading';
import { getNowMs } from './getNowMs.js';

const TICK_MS = 5;

interface ServerReadMonitor extends Disposable {
  /** The earliest moment at which data that is now read from the connection for the first time may have arrived. */
  readonly getEarliestArrivalAtMs: (socket: Socket) => number;
}

/**
 * Tracks how late this process may read data that arrives at one of its servers, so that its own delay isn't counted
 * against an entry.
 */
export const monitorServerReads = (server: Server): ServerReadMonitor => {
  const monitor = createReadDelayMonitor({
    getNowMs,
    reportAcceptBacklog: () => undefined,
    reportEventLoopStall: () => undefined,
  });
  server.on('connection', monitor.recordConnection);
  const tickTimer = setInterval(monitor.recordTick, TICK_MS);
  return {
    getEarliestArrivalAtMs: monitor.getEarliestArrivalAtMs,
    [Symbol.dispose]: () => {
      clearInterval(tickTimer);
    },
  };
};
