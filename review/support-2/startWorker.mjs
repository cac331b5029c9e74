import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/**
 * Starts a stand-in of a plain worker. It runs each request for `workMs`, refuses those that expect another worker, and
 * reports each run to `reportRun` with the moment of its arrival.
 */
export const startWorker = async ({ id, workMs, reportRun }) => {
  const server = createServer(async (request, response) => {
    const arrivedAtMs = performance.now();
    const { headers } = request;
    const attemptId = headers['x-attempt-id'] ?? '';
    request.resume();
    if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== id) {
      response.writeHead(421, { 'content-length': 0, 'x-instance-id': id });
      response.end();
      return;
    }
    const run = { worker: id, attemptId, arrivedAtMs, headers, hasEnded: false };
    reportRun(run);
    await sleep(workMs);
    const body = `done ${attemptId}`;
    response.writeHead(200, {
      'content-length': Buffer.byteLength(body),
      'content-type': 'text/plain',
      'x-attempt-id': attemptId,
      'x-response-seal': `seal.${attemptId}`,
    });
    response.end(body);
    run.hasEnded = !response.destroyed;
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
