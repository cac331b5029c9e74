import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RequestKind } from '../history/requestKind.js';
import type { SoakEntry } from '../system/soakEntry.js';

const KINDS: readonly RequestKind[] = ['stream', 'resumableStream', 'nonIdempotent'];
const PAUSE_MS = 150;

const hasOpenConnection = ({ freeSockets }: Agent): boolean => Object.keys(freeSockets).length > 0;

/**
 * Runs a caller with one connection to an entry: it sends a stream and, as soon as that has ended, its next request; then
 * it pauses. It goes on until it is stopped, and uses its connection for as long as that is open.
 */
export const runSequentialCaller = async ({
  entry,
  send,
  isStopped,
}: {
  readonly entry: SoakEntry;
  /** Sends a request; resolves once it has ended. */
  readonly send: (kind: RequestKind, agent: Agent) => Promise<void>;
  readonly isStopped: () => boolean;
}): Promise<void> => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  while (!isStopped()) {
    if (entry.isAcceptingRequests() || hasOpenConnection(agent)) {
      for (const kind of KINDS) {
        await send(kind, agent);
      }
    }
    await sleep(PAUSE_MS);
  }
  agent.destroy();
};
