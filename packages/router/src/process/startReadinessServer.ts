import { createServer } from 'node:http';
import { closeHttp, listenHttp, splitAddress } from '@parsleyhall/common';

/** Starts a server for the platform's readiness checks. */
export const startReadinessServer = async ({
  address,
  path,
  isReady,
}: {
  readonly address: string;
  readonly path: string;
  readonly isReady: () => boolean;
}): Promise<AsyncDisposable & { readonly address: string }> => {
  const server = createServer((request, response) => {
    request.resume();
    const status = request.url === path ? (isReady() ? 200 : 503) : 404;
    response.writeHead(status, { 'content-length': '0' });
    response.end();
  });
  const boundAddress = await listenHttp(server, splitAddress(address));
  return {
    address: boundAddress,
    [Symbol.asyncDispose]: () => closeHttp(server),
  };
};
