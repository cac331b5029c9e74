import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { fromNodeHandler, H3, toNodeHandler } from 'h3';
import type { EventHandler } from 'h3';
import { answerClientError } from './answerClientError.js';
import type { CallersServerOptions } from './callersServerOptions.js';
import { createCallerHandler } from './createCallerHandler.js';
import { getInvalidProblem } from './problems/getInvalidProblem.js';
import { newInvalidRequest } from './problems/newInvalidRequest.js';
import { newProblemResponse } from './problems/newProblemResponse.js';
import { sendProblem } from './problems/sendProblem.js';

const CHECKS_PER_TIMEOUT = 4;

type Handle = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

const waitForClose = (response: ServerResponse): Promise<void> =>
  new Promise((resolve) => {
    if (response.closed) {
      resolve();
      return;
    }
    response.once('close', resolve);
  });

// The library ends the answer when its handler has returned, so that the handler stays until it is sent.
const serve = async (
  handle: Handle,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  await handle(request, response);
  await waitForClose(response);
};

const toEventHandler = (handle: Handle): EventHandler =>
  fromNodeHandler((request, response) =>
    serve(handle, request as IncomingMessage, response as ServerResponse),
  );

const sendText = (response: ServerResponse, status: number, text: string): void => {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' });
  response.end(text);
};

const createApp = (options: CallersServerOptions): H3 => {
  const isReady = (): boolean =>
    options.getConfiguration().document !== undefined && !options.isStopping();
  const handleHealth: Handle = (_, response) => {
    sendText(response, 200, 'ok\n');
  };
  const handleReadiness: Handle = (_, response) => {
    sendText(response, isReady() ? 200 : 503, isReady() ? 'ready\n' : 'not ready\n');
  };
  const handleMetrics: Handle = (_, response) => {
    sendText(response, 200, options.formatMetrics());
  };
  const handleUnknown: Handle = (request, response) => {
    request.resume();
    const fault = newInvalidRequest('unknownPath', `Nothing answers ${request.method ?? ''} here.`);
    sendProblem(response, getInvalidProblem(fault));
  };
  const handleModel = toEventHandler(createCallerHandler(options, 'model'));
  const handleService = toEventHandler(createCallerHandler(options, 'service'));
  return new H3({
    silent: true,
    onError: ({ status, message }) => newProblemResponse(status, message),
  })
    .get('/healthz', toEventHandler(handleHealth))
    .get('/readyz', toEventHandler(handleReadiness))
    .get('/metrics', toEventHandler(handleMetrics))
    .post('/v1/chat/completions', handleModel)
    .post('/v1/completions', handleModel)
    .all('/services/**', handleService)
    .all('/**', toEventHandler(handleUnknown));
};

/** Creates the HTTP server for callers; it does not listen yet. */
export const createCallersServer = (options: CallersServerOptions): Server => {
  const handle = toNodeHandler(createApp(options));
  const server = createServer(
    {
      maxHeaderSize: options.maximumHeaderBytes,
      requestTimeout: options.slowSenderTimeoutMs,
      headersTimeout: options.slowSenderTimeoutMs,
      connectionsCheckingInterval: Math.ceil(options.slowSenderTimeoutMs / CHECKS_PER_TIMEOUT),
    },
    (request, response) => {
      if (options.isStopping()) {
        response.shouldKeepAlive = false;
      }
      void handle(request, response);
    },
  );
  server.maxConnections = options.maximumConnections;
  server.on('clientError', answerClientError);
  return server;
};
