import { Socket } from 'node:net';
import { Client } from 'undici';

const ANY_ORIGIN = 'http://127.0.0.1';
const RESPONSE = Buffer.from('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');

/** Creates a socket that is not connected and answers what is written to it with this response. */
const createAnsweringSocket = (): Socket => {
  const socket = new Socket();
  const answer = (finish: () => void): void => {
    finish();
    setImmediate(() => socket.push(RESPONSE));
  };
  socket._read = () => undefined;
  socket._write = (_chunk, _encoding, finish) => {
    answer(finish);
  };
  socket._writev = (_chunks, finish) => {
    answer(finish);
  };
  return socket;
};

/**
 * Has the HTTP client compile its parser, which it does for its first response. That takes much memory for a moment, which
 * is there when the process starts, but not when a crowd of callers has come before the first request.
 */
export const loadTargetClient = async (): Promise<void> => {
  const client = new Client(ANY_ORIGIN, {
    connect: (_, callback) => {
      // The client takes an answer only once it has noticed the connection.
      setImmediate(callback, null, createAnsweringSocket());
    },
  });
  const { body } = await client.request({ path: '/', method: 'GET' });
  await body.dump();
  await client.destroy();
};
