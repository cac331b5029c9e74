import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

const CHUNK = Buffer.alloc(65_536, 'r');

/** The response to a request whose path ends so never begins. */
const SILENT_PATH_END = '/silent';

/** A response to a path with this part is held back until `releaseHeld` is called. */
const HELD_PATH_PART = '/held/';

/** Starts a target whose responses have the number of bytes that the last part of the path names. */
export const startLargeTarget = async (): Promise<
  AsyncDisposable & {
    readonly address: string;
    readonly countBegunResponses: () => number;
    readonly countOpenResponses: () => number;
    readonly countHeldResponses: () => number;
    readonly releaseHeld: () => void;
  }
> => {
  let begunResponses = 0;
  let openResponses = 0;
  const held: (() => void)[] = [];
  const server = createServer((request, response) => {
    if (request.url?.endsWith(SILENT_PATH_END) === true) {
      request.resume();
      return;
    }
    begunResponses += 1;
    openResponses += 1;
    response.once('close', () => {
      openResponses -= 1;
    });
    let remainingBytes = Number(request.url?.split('/').at(-1) ?? 0);
    const writeMore = (): void => {
      while (remainingBytes > 0) {
        const bytes = CHUNK.subarray(0, Math.min(CHUNK.length, remainingBytes));
        remainingBytes -= bytes.length;
        if (!response.write(bytes)) {
          response.once('drain', writeMore);
          return;
        }
      }
      response.end();
    };
    request.resume();
    const respond = (): void => {
      response.writeHead(200, { 'content-length': String(remainingBytes) });
      writeMore();
    };
    request.once('end', () => {
      if (request.url?.includes(HELD_PATH_PART) === true) {
        held.push(respond);
      } else {
        respond();
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    countBegunResponses: () => begunResponses,
    countOpenResponses: () => openResponses,
    countHeldResponses: () => held.length,
    releaseHeld: () => {
      held.splice(0).forEach((respond) => {
        respond();
      });
    },
    [Symbol.asyncDispose]: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
};
