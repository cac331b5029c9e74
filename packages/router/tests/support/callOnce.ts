import { connect } from 'node:net';
import type { RunningRouter } from '../../src/index.js';

/** Sends one request on a connection of its own and resolves with everything received; without an id if there is none. */
export const callOnce = (
  router: Pick<RunningRouter, 'callersAddress'>,
  path: string,
  attemptId?: string,
): Promise<string> =>
  new Promise((resolve) => {
    const [host = '', port = ''] = router.callersAddress.split(':');
    const socket = connect({ host, port: Number(port) });
    let received = '';
    const idHeader = attemptId === undefined ? '' : `Attempt: ${attemptId}\r\n`;
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
    });
    socket.once('close', () => {
      resolve(received);
    });
    socket.write(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n${idHeader}Connection: close\r\n\r\n`);
  });
