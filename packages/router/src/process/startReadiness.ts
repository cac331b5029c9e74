import { createServer } from 'node:http';
import { closeHttp, listenHttp, splitAddress } from '@parsleyhall/common';

/** Answers the platform's question whether this process takes callers. */
export const startReadiness = async ({
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
  const bound = await listenHttp(server, splitAddress(address));
  return {
    address: bound,
    [Symbol.asyncDispose]: () => closeHttp(server),
  };
};
