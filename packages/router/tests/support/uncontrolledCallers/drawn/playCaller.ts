import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { CallerKind } from './callerKind.js';

/** A slow caller takes one piece of what has arrived in so long. */
const SLOW_READ_PERIOD_MS = 300;
const SLOW_READ_BYTES = 10;
/** A caller that is never read from gives up sending after so long. */
const MAX_SENDING_MS = 5_000;

const startReading = (socket: Socket, reading: CallerKind['reading']): void => {
  if (reading === 'fully') {
    socket.resume();
    return;
  }
  socket.pause();
  if (reading === 'slowly') {
    const timer = setInterval(() => {
      socket.read(SLOW_READ_BYTES);
    }, SLOW_READ_PERIOD_MS);
    socket.once('close', () => {
      clearInterval(timer);
    });
  }
};

const end = (socket: Socket, kind: CallerKind): void => {
  if (kind.end === 'ended') {
    socket.end();
  } else if (kind.end === 'reset') {
    socket.resetAndDestroy();
  }
};

/** Plays one caller until it has sent everything or gives up; its connection may stay open. */
export const playCaller = (address: string, kind: CallerKind, bytes: Buffer): Promise<Socket> =>
  new Promise((resolve) => {
    const [host = '', port = ''] = address.split(':');
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    const finish = (): void => {
      clearTimeout(timer);
      resolve(socket);
    };
    const timer = setTimeout(finish, MAX_SENDING_MS);
    socket.on('error', () => undefined);
    socket.once('close', finish);
    startReading(socket, kind.reading);
    socket.write(bytes, () => {
      end(socket, kind);
      finish();
    });
  });
