import type { Server, Socket } from 'node:net';
import { createReadingWatch } from '@parsleyhall/router/reading';
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
  const monitor = createReadingWatch({
    getNowMs,
    tellBacklog: () => undefined,
    tellStall: () => undefined,
  });
  server.on('connection', monitor.noteAccepted);
  const tickTimer = setInterval(monitor.noteTick, TICK_MS);
  return {
    getEarliestArrivalAtMs: monitor.getUnreadSinceMs,
    [Symbol.dispose]: () => {
      clearInterval(tickTimer);
    },
  };
};
