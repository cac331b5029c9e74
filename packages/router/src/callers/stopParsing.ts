import type { Socket } from 'node:net';

/** Tells the parser to leave the rest of its block alone, as after an upgrade. */
const SKIP_REST = 2;

interface ParsedSocket extends Socket {
  parser?: { onIncoming?: ((request: unknown) => number) | null } | null;
}

/**
 * Stops parsing the block that was read from a connection that is being closed. Otherwise, its requests would be created
 * and kept until the end of the event loop's turn, several thousand for each connection.
 */
export const stopParsing = (socket: Socket): void => {
  const { parser }: ParsedSocket = socket;
  if (parser) {
    // Not a documented interface; without it, the requests are created and dropped.
    parser.onIncoming = () => SKIP_REST;
  }
};
