import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const RESPONSE_PIECES = 8;

/**
 * Starts a stand-in of a plain worker. It reads each request completely, runs it for `workMs`, then writes its response in
 * pieces over `responseMs`. It refuses requests that expect another worker, and reports each run to `reportRun`.
 */
export const startWorker = async ({ id, workMs, responseBytes = 0, responseMs = 0, reportRun }) => {
  const handle = async (request, response) => {
    const arrivedAtMs = performance.now();
    const { headers } = request;
    const attemptId = headers['x-attempt-id'] ?? '';
    for await (const chunk of request) {
      void chunk;
    }
    if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== id) {
      response.writeHead(421, { 'content-length': 0, 'x-instance-id': id });
      response.end();
      return;
    }
    reportRun({ worker: id, attemptId, arrivedAtMs, headers });
    await sleep(workMs);
    const body = `done ${attemptId}`.padEnd(responseBytes, '.');
    response.writeHead(200, {
      'content-length': Buffer.byteLength(body),
      'content-type': 'text/plain',
      'x-attempt-id': attemptId,
      'x-response-seal': `seal.${attemptId}`,
    });
    const pieceBytes = Math.ceil(body.length / RESPONSE_PIECES);
    for (let at = 0; responseMs > 0 && at + pieceBytes < body.length; at += pieceBytes) {
      response.write(body.slice(at, at + pieceBytes));
      await sleep(responseMs / RESPONSE_PIECES);
    }
    response.end(responseMs > 0 ? body.slice((RESPONSE_PIECES - 1) * pieceBytes) : body);
  };
  // Like most workers, it drops a request whose connection closes.
  const server = createServer((request, response) => {
    response.on('error', () => undefined);
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    id,
    port: server.address().port,
    /** Ends like a worker that exits: its connections close, whatever runs on them. */
    exit: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
