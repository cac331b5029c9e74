import type { Socket } from 'node:net';
import type { CallerKind } from './callerKind.js';
import type { DrawnCrowd } from './drawnCrowd.js';
import { playCaller } from './playCaller.js';
import { writeCallerBytes } from './writeCallerBytes.js';

const playKind = (
  address: string,
  kind: CallerKind,
  options: { readonly pathAhead?: string },
): Promise<readonly Socket[]> => {
  const bytes = writeCallerBytes(kind, options);
  return Promise.all(Array.from({ length: kind.callers }, () => playCaller(address, kind, bytes)));
};

/** Plays the waves of a crowd one after the other. What was left open stays open during the check of its wave. */
export const playDrawnCrowd = async (
  address: string,
  { waves }: DrawnCrowd,
  checkWave: () => Promise<void>,
  options: { readonly pathAhead?: string } = {},
): Promise<void> => {
  for (const kinds of waves) {
    const sockets = (
      await Promise.all(kinds.map((kind) => playKind(address, kind, options)))
    ).flat();
    try {
      await checkWave();
    } finally {
      sockets.forEach((socket) => {
        socket.destroy();
      });
    }
  }
};
