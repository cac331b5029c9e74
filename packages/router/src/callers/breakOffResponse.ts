import type { ServerResponse } from 'node:http';
import { resetConnection } from './resetConnection.js';

/** Closes the connection of a response so that the response does not look complete. */
export const breakOffResponse = (response: ServerResponse): void => {
  // What was written in this turn of the event loop has not been sent yet.
  response.socket?.uncork();
  // HTTP/1.0 has no chunks: a response may end with its connection, so only a reset tells that it is incomplete. A reset
  // may take back bytes that the caller has not read yet, so other connections are closed in order.
  if (response.req.httpVersionMinor === 0 && response.socket !== null) {
    resetConnection(response.socket);
  }
  response.destroy();
};
