// A client on a raw socket, which keeps its connection open for the next request.
import { connect } from 'node:net';
import { readResponse } from './http.mjs';
import { HOST, KEY } from './system.mjs';

export const openConnection = (address) =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true }, () => {
      socket.off('error', reject);
      socket.on('error', () => undefined);
      resolve(socket);
    });
    socket.once('error', reject);
  });

/**
 * Sends a request and resolves with what the client sees: `status`, `headers`, `body` and how it `ended` ('complete',
 * 'closed', 'reset' or 'deadline'). A client that has waited for `deadlineMs` closes its connection.
 */
export const call = (
  socket,
  { method = 'GET', path, attempt, deadlineMs, body = '', headers = [], record, onEnd },
) =>
  new Promise((resolve) => {
    const answer = { attempt, status: undefined, headers: new Map(), body: '' };
    const chunks = [];
    const finish = (ended) => {
      clearTimeout(timer);
      answer.ended = ended;
      answer.body = Buffer.concat(chunks).toString('latin1');
      record('client sees', {
        attempt,
        status: answer.status ?? 'none',
        bytes: answer.body.length,
        ended,
      });
      onEnd?.(answer);
      resolve(answer);
    };
    const stop = readResponse(socket, {
      head: ({ status, headers: responseHeaders }) => {
        answer.status = status;
        answer.headers = responseHeaders;
      },
      body: (bytes) => {
        chunks.push(bytes);
      },
      end: finish,
    });
    const timer = setTimeout(() => {
      stop();
      socket.destroy();
      finish('deadline');
    }, deadlineMs);
    record('client sends', { attempt, method, path });
    socket.write(
      [
        `${method} ${path} HTTP/1.1`,
        `Host: ${HOST}`,
        `X-Attempt-Id: ${attempt}`,
        `X-Deadline-Ms: ${deadlineMs}`,
        `Api-Key: ${KEY}`,
        ...headers,
        ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
        '',
        body,
      ].join('\r\n'),
    );
  });
