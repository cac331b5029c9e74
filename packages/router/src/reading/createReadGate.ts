import type { PacedConnection } from './pacedConnection.js';
import { createWorkQueue } from './createWorkQueue.js';
import type { ReadGate } from './readGate.js';
import { stopReadingHandle } from './stopReadingHandle.js';

/** Beyond so much, reading goes on in the next turn. What is read is garbage soon, but collected only later. */
const MAX_READ_BYTES_PER_TURN = 1_048_576;
/** After the limit was reached, so many connections are read in each turn. */
const MAX_CONNECTIONS_PER_TURN = 16;

/** Creates a gate without connections. */
export const createReadGate = (): ReadGate => {
  const reading = new Set<PacedConnection>();
  const queue = createWorkQueue();
  let readBytes = 0;

  const stopAll = (): void => {
    reading.forEach((connection) => {
      if (stopReadingHandle(connection.socket)) {
        reading.delete(connection);
        queue.add(connection);
      }
    });
  };

  const start = (connection: PacedConnection): void => {
    reading.add(connection);
    connection.read();
  };

  const remove = (connection: PacedConnection): void => {
    reading.delete(connection);
    queue.remove(connection);
  };

  return {
    add: (connection) => {
      reading.add(connection);
    },
    remove,
    recordRead: (bytes) => {
      readBytes += bytes;
      if (readBytes > MAX_READ_BYTES_PER_TURN) {
        stopAll();
      }
    },
    isReading: (connection) => reading.has(connection),
    stop: remove,
    readOn: (connection) => {
      if (reading.has(connection)) {
        return;
      }
      if (queue.countWaiting() === 0 && readBytes <= MAX_READ_BYTES_PER_TURN) {
        start(connection);
      } else {
        queue.add(connection);
      }
    },
    startTurn: () => {
      readBytes = 0;
      for (let started = 0; started < MAX_CONNECTIONS_PER_TURN; started += 1) {
        const next = queue.takeNext();
        if (next === undefined) {
          return false;
        }
        start(next);
      }
      return queue.countWaiting() > 0;
    },
  };
};
