import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { TargetResponse } from './targetResponse.js';

/** Writes the chunks of a response at intervals, then ends it, or closes its connection in order or with a reset. */
export const writeResponse = async (
  response: ServerResponse,
  { chunks, intervalMs, end }: TargetResponse,
): Promise<void> => {
  const endsWithLastChunk = end === 'complete' && intervalMs === 0;
  for (const chunk of endsWithLastChunk ? chunks.slice(0, -1) : chunks) {
    response.write(chunk);
    await sleep(intervalMs);
  }
  switch (end) {
    case 'complete':
      response.end(endsWithLastChunk ? chunks.at(-1) : undefined);
      return;
    case 'closed':
      response.destroy();
      return;
    case 'reset':
      response.socket?.resetAndDestroy();
  }
};
