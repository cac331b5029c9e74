import { createServer } from 'node:http';
import type { Metrics } from '@parsleyhall/metrics';
import { closeHttp, listenHttp, splitAddress } from '@parsleyhall/common';

/** Starts a server that returns all metrics as text on every path. */
export const startMetricsServer = async (
  address: string,
  metrics: Metrics,
): Promise<AsyncDisposable & { readonly address: string }> => {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' });
    response.end(metrics.format());
  });
  const boundAddress = await listenHttp(server, splitAddress(address));
  return {
    address: boundAddress,
    [Symbol.asyncDispose]: () => closeHttp(server),
  };
};
