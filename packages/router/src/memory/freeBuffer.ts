import { MessageChannel } from 'node:worker_threads';

/** Smaller buffers may share their memory with others. */
const MIN_FREED_BYTES = 16_384;

const { port1: closedPort } = new MessageChannel();
let isClosed = false;
closedPort.once('close', () => {
  isClosed = true;
});
closedPort.close();

/**
 * Frees the memory of a buffer that nothing refers to any more. The garbage collector would do so only after many more of
 * them, and the process keeps what it has taken by then. The buffer is transferred to a port that nobody reads from; where
 * that does not free it, the garbage collector still does.
 */
export const freeBuffer = ({ buffer }: Buffer): void => {
  if (isClosed && buffer instanceof ArrayBuffer && buffer.byteLength >= MIN_FREED_BYTES) {
    closedPort.postMessage(undefined, [buffer]);
  }
};
