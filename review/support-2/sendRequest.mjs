import { request } from 'node:http';
import { randomBytes } from 'node:crypto';

/** A new id of a client's attempt. */
export const newAttemptId = () => randomBytes(8).toString('hex');

/** Sends a request and resolves with what the client saw. */
export const sendRequest = ({ router, agent, method = 'POST', host, path, headers, body }) =>
  new Promise((resolve) => {
    const attemptId = newAttemptId();
    const sentAtMs = performance.now();
    const finish = (result) => {
      resolve({ attemptId, sentAtMs, endedAtMs: performance.now(), ...result });
    };
    const call = request(
      {
        host: router.ip,
        port: router.callersPort,
        agent,
        method,
        path,
        headers: { host, 'x-attempt-id': attemptId, ...headers },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.once('error', () => undefined);
        response.once('close', () => {
          finish({
            status: response.statusCode,
            headers: response.headers,
            isWhole: response.complete,
            body: Buffer.concat(chunks).toString('utf8'),
          });
        });
      },
    );
    call.once('error', (error) => {
      finish({ status: undefined, error: error.message });
    });
    call.end(body);
  });
