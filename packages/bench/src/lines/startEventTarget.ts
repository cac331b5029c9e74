import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { closeHttp, listenHttp } from '@parsleyhall/common';

const EVENTS = 60;
const EVENT_PERIOD_MS = 25;

const sendEvents = (response: ServerResponse): void => {
  let sent = 0;
  const sending = setInterval(() => {
    sent += 1;
    response.write(`id: ${sent}\ndata: ${'x'.repeat(40)}\n\n`);
    if (sent === EVENTS) {
      clearInterval(sending);
      response.end();
    }
  }, EVENT_PERIOD_MS);
  response.on('close', () => {
    clearInterval(sending);
  });
};

/** Starts a target that answers every call, and repeats its id, with a stream of 60 events in a second and a half. */
export const startEventTarget = async (): Promise<
  AsyncDisposable & { readonly address: string }
> => {
  const server = createServer((request, response) => {
    request.resume();
    const id = request.headers['x-request-id'] ?? '';
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id });
    sendEvents(response);
  });
  const address = await listenHttp(server, { address: '127.0.0.1', port: 0 });
  return { address, [Symbol.asyncDispose]: () => closeHttp(server) };
};
