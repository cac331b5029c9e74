import type { Socket } from 'node:net';
import { stopReading } from './stopReading.js';

/** Time for the caller to read the response before its connection is reset because of the bytes that were not read. */
const LINGER_MS = 1_000;
/** Beyond this number, the oldest connection is closed at once: each still takes the memory of its request. */
const MAX_LINGERING = 64;

const lingering = new Set<Socket>();

const limitLingering = (): void => {
  const [oldest] = lingering;
  if (lingering.size > MAX_LINGERING && oldest !== undefined) {
    lingering.delete(oldest);
    oldest.destroy();
  }
};

/**
 * Sends a response past Node's queue of responses and closes the connection without reading on; the caller need not close
 * its side. The responses before this one have to be written out.
 */
export const closeWithResponse = (
  socket: Socket,
  {
    status,
    headers,
    body,
  }: {
    readonly status: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
  },
): void => {
  const lines = Object.entries({ ...headers, connection: 'close' }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  stopReading(socket);
  socket.end(`HTTP/1.1 ${status}\r\n${lines.join('')}\r\n${body}`);
  const timer = setTimeout(() => {
    socket.destroy();
  }, LINGER_MS);
  socket.once('close', () => {
    clearTimeout(timer);
    lingering.delete(socket);
  });
  lingering.add(socket);
  limitLingering();
};
