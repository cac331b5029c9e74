import type { IncomingMessage, ServerResponse } from 'node:http';

/** Whether a response can still be written. Bytes can arrive on a connection whose last response has been sent. */
export const canRespond = ({ socket }: IncomingMessage, response: ServerResponse): boolean =>
  !response.destroyed && !socket.destroyed && !socket.writableEnded;
