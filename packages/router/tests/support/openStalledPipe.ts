import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

interface StalledPipe extends AsyncDisposable {
  /** To write to; nobody reads until the other end is read. */
  readonly descriptor: number;
  /** Reads until the text has come; resolves with all that came. */
  readonly readUntil: (text: string) => Promise<string>;
}

// The descriptor of a socket is not among its public fields.
const getDescriptor = (socket: Socket): number =>
  (socket as unknown as { readonly _handle: { readonly fd: number } })._handle.fd;

/** Opens a connection whose reader does not read until it is asked to. */
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
        let seen = '';
        reader.on('data', (bytes) => {
          seen += bytes.toString('utf8');
          if (seen.includes(text)) {
            resolve(seen);
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
