import { connect } from 'node:net';
import type { RunningRouter } from '../../src/index.js';
import type { RawCaller } from './rawCaller.js';

/** Opens a connection to the router and sends a request on it. */
export const sendRequest = (
  router: Pick<RunningRouter, 'callersAddress'>,
  path: string,
  headers = '',
  version = '1.1',
): RawCaller => {
  const [host = '', port = ''] = router.callersAddress.split(':');
  const socket = connect({ host, port: Number(port) });
  let received = '';
  const checks = new Set<() => void>();
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    received += bytes.toString('latin1');
    checks.forEach((check) => {
      check();
    });
  });
  const send = (nextPath: string, nextHeaders = ''): void => {
    socket.write(
      `GET ${nextPath} HTTP/${version}\r\nHost: ${host}\r\nAttempt: a1\r\n${nextHeaders}\r\n`,
    );
  };
  send(path, headers);
  return {
    socket,
    send,
    whenClosed: new Promise((resolve) => {
      socket.once('close', () => {
        resolve(received);
      });
    }),
    waitForText: (text) =>
      new Promise((resolve) => {
        const check = (): void => {
          if (received.includes(text)) {
            checks.delete(check);
            resolve(received);
          }
        };
        checks.add(check);
        check();
      }),
  };
};
