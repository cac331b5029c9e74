import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { formatProblem } from './problems/formatProblem.js';
import { getInvalidProblem } from './problems/getInvalidProblem.js';
import type { InvalidReason } from './problems/invalidReason.js';
import { createInvalidRequest } from './problems/createInvalidRequest.js';

const REASON_BY_ERROR_CODE: Readonly<Record<string, InvalidReason>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'requestTooSlow',
};

const formatRawResponse = (reason: InvalidReason, detail: string): string => {
  const { status, headers, body } = formatProblem(
    getInvalidProblem(createInvalidRequest(reason, detail)),
  );
  const lines = Object.entries({ ...headers, connection: 'close' }).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, ...lines, '', body].join('\r\n');
};

const hasStartedResponse = (socket: Duplex): boolean =>
  'bytesWritten' in socket && Number(socket.bytesWritten) > 0;

/** Responds to input that is not HTTP, arrives too slowly or is too large, and closes the connection. */
export const handleClientError = (error: NodeJS.ErrnoException, socket: Duplex): void => {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const reason = REASON_BY_ERROR_CODE[error.code ?? ''] ?? 'malformedRequest';
  if (reason === 'requestTooSlow' && hasStartedResponse(socket)) {
    socket.destroy();
    return;
  }
  socket.end(formatRawResponse(reason, error.code ?? ''), () => {
    socket.destroy();
  });
};
