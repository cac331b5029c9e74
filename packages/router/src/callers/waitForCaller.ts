import type { IncomingMessage, ServerResponse } from 'node:http';

/** Calls back once whatever has come by now on the caller's connection was read, with whether the caller is there. */
export const waitForCaller = (
  { socket }: IncomingMessage,
  response: ServerResponse,
  take: (isThere: boolean) => void,
): void => {
  let hasEnded = false;
  const noteEnd = (): void => {
    hasEnded = true;
  };
  socket.once('end', noteEnd);
  // Between the two the process reads its connections once.
  setImmediate(() => {
    setImmediate(() => {
      socket.removeListener('end', noteEnd);
      take(!hasEnded && !socket.destroyed && !response.destroyed);
    });
  });
};
