import { createServer } from 'node:http';
import type { Metrics } from '@parsleyhall/metrics';
import { closeHttp, listenHttp, splitAddress } from '@parsleyhall/common';

/** Answers with all metrics as text, whatever the path. */
export const startMetricsListener = async (
  address: string,
  metrics: Metrics,
): Promise<AsyncDisposable & { readonly address: string }> => {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' });
    response.end(metrics.format());
  });
  const bound = await listenHttp(server, splitAddress(address));
  return {
    address: bound,
    [Symbol.asyncDispose]: () => closeHttp(server),
  };
};
