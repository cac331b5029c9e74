import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const CHUNK_INTERVAL_MS = 20;

/** Writes the chunks of a response at intervals, then ends it, or closes its connection in order or with a reset. */
export const writeResponse = async (
  response: ServerResponse,
  chunks: readonly string[],
  end: 'complete' | 'closed' | 'reset',
): Promise<void> => {
  for (const chunk of chunks) {
    response.write(chunk);
    await sleep(CHUNK_INTERVAL_MS);
  }
  switch (end) {
    case 'complete':
      response.end();
      return;
    case 'closed':
      response.destroy();
      return;
    case 'reset':
      response.socket?.resetAndDestroy();
  }
};
