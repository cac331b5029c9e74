import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { formatProblem } from './problems/formatProblem.js';
import { getInvalidProblem } from './problems/getInvalidProblem.js';
import type { InvalidReason } from './problems/invalidReason.js';
import { newInvalidRequest } from './problems/newInvalidRequest.js';

const REASONS: Readonly<Record<string, InvalidReason>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'requestTooSlow',
};

const formatRaw = (reason: InvalidReason, detail: string): string => {
  const { status, headers, body } = formatProblem(
    getInvalidProblem(newInvalidRequest(reason, detail)),
  );
  const lines = Object.entries({ ...headers, connection: 'close' }).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, ...lines, '', body].join('\r\n');
};

const hasBegunAnswer = (socket: Duplex): boolean =>
  'bytesWritten' in socket && Number(socket.bytesWritten) > 0;

/** Answers what is no HTTP, or comes too slowly or too large, and closes the connection. */
export const answerClientError = (error: NodeJS.ErrnoException, socket: Duplex): void => {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const reason = REASONS[error.code ?? ''] ?? 'malformedRequest';
  if (reason === 'requestTooSlow' && hasBegunAnswer(socket)) {
    socket.destroy();
    return;
  }
  socket.end(formatRaw(reason, error.code ?? ''), () => {
    socket.destroy();
  });
};
