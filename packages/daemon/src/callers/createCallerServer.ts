import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { fromNodeHandler, H3, toNodeHandler } from 'h3';
import type { EventHandler } from 'h3';
import { handleClientError } from './handleClientError.js';
import type { CallerServerOptions } from './callerServerOptions.js';
import { createCallerHandler } from './createCallerHandler.js';
import { getInvalidProblem } from './problems/getInvalidProblem.js';
import { createInvalidRequest } from './problems/createInvalidRequest.js';
import { createProblemResponse } from './problems/createProblemResponse.js';
import { sendProblem } from './problems/sendProblem.js';

const CHECKS_PER_TIMEOUT = 4;

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

const waitForClose = (response: ServerResponse): Promise<void> =>
  new Promise((resolve) => {
    if (response.closed) {
      resolve();
      return;
    }
    response.once('close', resolve);
  });

// h3 ends the response as soon as the handler returns, so this returns only when the response is closed.
const handleUntilClosed = async (
  handle: RequestHandler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> => {
  await handle(request, response);
  await waitForClose(response);
};

const toEventHandler = (handle: RequestHandler): EventHandler =>
  fromNodeHandler((request, response) =>
    handleUntilClosed(handle, request as IncomingMessage, response as ServerResponse),
  );

const sendText = (response: ServerResponse, status: number, text: string): void => {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' });
  response.end(text);
};

const createApp = (options: CallerServerOptions): H3 => {
  const isReady = (): boolean =>
    options.getConfiguration().document !== undefined && !options.isStopping();
  const handleHealth: RequestHandler = (_, response) => {
    sendText(response, 200, 'ok\n');
  };
  const handleReadiness: RequestHandler = (_, response) => {
    sendText(response, isReady() ? 200 : 503, isReady() ? 'ready\n' : 'not ready\n');
  };
  const handleMetrics: RequestHandler = (_, response) => {
    sendText(response, 200, options.formatMetrics());
  };
  const handleUnknownPath: RequestHandler = (request, response) => {
    request.resume();
    const fault = createInvalidRequest(
      'unknownPath',
      `Nothing answers ${request.method ?? ''} here.`,
    );
    sendProblem(response, getInvalidProblem(fault));
  };
  const handleModel = toEventHandler(createCallerHandler(options, 'model'));
  const handleService = toEventHandler(createCallerHandler(options, 'service'));
  return new H3({
    silent: true,
    onError: ({ status, message }) => createProblemResponse(status, message),
  })
    .get('/healthz', toEventHandler(handleHealth))
    .get('/readyz', toEventHandler(handleReadiness))
    .get('/metrics', toEventHandler(handleMetrics))
    .post('/v1/chat/completions', handleModel)
    .post('/v1/completions', handleModel)
    .all('/services/**', handleService)
    .all('/**', toEventHandler(handleUnknownPath));
};

/** Creates the HTTP server for callers; it does not listen yet. */
export const createCallerServer = (options: CallerServerOptions): Server => {
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
  server.on('clientError', handleClientError);
  return server;
};
