import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

interface StalledPipe extends AsyncDisposable {
  /** The file descriptor to write to; nothing is read from it until `readUntil` is called. */
  readonly descriptor: number;
  /** Reads until the text has arrived; resolves with everything that was read. */
  readonly readUntil: (text: string) => Promise<string>;
}

// Node.js does not expose a socket's file descriptor in a public field.
const getDescriptor = (socket: Socket): number =>
  (socket as unknown as { readonly _handle: { readonly fd: number } })._handle.fd;

/** Opens a connection whose reader reads nothing until it is told to. */
export const openStalledPipe = async (): Promise<StalledPipe> => {
  const server = createServer({ pauseOnConnect: true });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection');
  const writer = connect((server.address() as AddressInfo).port, '127.0.0.1');
  await once(writer, 'connect');
  const [reader] = (await accepted) as [Socket];
  return {
    descriptor: getDescriptor(writer),
    readUntil: (text) =>
      new Promise((resolve) => {
        let received = '';
        reader.on('data', (bytes) => {
          received += bytes.toString('utf8');
          if (received.includes(text)) {
            resolve(received);
          }
        });
        reader.resume();
      }),
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        writer.destroy();
        reader.destroy();
        server.close(() => {
          resolve();
        });
      }),
  };
};
