import { createServer } from 'node:http';
import { H3, toNodeHandler } from 'h3';
import { closeHttp, listenHttp } from '@parsleyhall/common';
import type { ListenerAddress } from '@parsleyhall/common';
import type { ProcessStatus } from '@parsleyhall/clients';

/** Starts to serve `/status` and `/metrics` to operators; connections from addresses that are not allowed are closed. */
export const startOperatorListener = async ({
  listen,
  isAllowedPeer,
  getStatus,
  formatMetrics,
}: {
  readonly listen: ListenerAddress;
  readonly isAllowedPeer: (address: string | undefined) => boolean;
  readonly getStatus: () => ProcessStatus;
  readonly formatMetrics: () => string;
}): Promise<AsyncDisposable & { readonly address: string }> => {
  const app = new H3()
    .get('/status', () => Response.json(getStatus()))
    .get('/metrics', () => new Response(formatMetrics()))
    .get('/healthz', () => new Response('ok\n'));
  const handle = toNodeHandler(app);
  const server = createServer((request, response) => {
    void handle(request, response);
  });
  server.on('connection', (socket) => {
    if (!isAllowedPeer(socket.remoteAddress)) {
      socket.destroy();
    }
  });
  const address = await listenHttp(server, listen);
  return { address, [Symbol.asyncDispose]: () => closeHttp(server) };
};
