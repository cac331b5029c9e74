import type { Socket } from 'node:net';
import { sharedBlockPool } from '../memory/sharedBlockPool.js';
import { createReadGate } from './createReadGate.js';
import { createWorkQueue } from './createWorkQueue.js';
import type { PacedConnection } from './pacedConnection.js';
import type { PacedReading } from './pacedReading.js';
import { parseSlice } from './parseSlice.js';
import { readThroughStream } from './readThroughStream.js';
import { releaseBlock } from './releaseBlock.js';
import { storeBlock } from './storeBlock.js';

/** After so long, parsing goes on in the next turn of the event loop, so that everything else has its turn. */
const MAX_PARSING_PER_TURN_MS = 20;

/** A paused connection is read on up to so many bytes, since only reading shows that its caller has left. */
const MAX_UNPARSED_BYTES_WHILE_PAUSED = 65_536;
/** The same for small blocks, each of which takes an object. */
const MAX_BLOCKS_WHILE_PAUSED = 8;

const isParsable = ({ socket, blocks }: PacedConnection): boolean =>
  blocks.length > 0 && socket.readableFlowing === true && !socket.destroyed;

const countUnparsedBytes = ({ blocks }: PacedConnection): number =>
  blocks.reduce((sum, { bytes, parsedBytes }) => sum + bytes.length - parsedBytes, 0);

/** A connection whose side was ended is being closed. */
const isPaused = ({ socket }: PacedConnection): boolean =>
  socket.readableFlowing === false && !socket.destroyed && !socket.writableEnded;

const mayReadWhilePaused = (connection: PacedConnection): boolean =>
  isPaused(connection) &&
  connection.blocks.length < MAX_BLOCKS_WHILE_PAUSED &&
  countUnparsedBytes(connection) < MAX_UNPARSED_BYTES_WHILE_PAUSED;

const countHeldBytes = ({ blocks }: PacedConnection): number =>
  blocks.reduce((sum, { bytes, storage = bytes }) => sum + storage.length, 0);

/** Creates the pacing for the connections of one server. */
export const createPacedReading = ({
  getNowMs,
  getEarliestArrivalAtMs,
  holdUnparsedBytes,
  reportWait,
}: {
  readonly getNowMs: () => number;
  /** The earliest moment at which what is being read now may have arrived. */
  readonly getEarliestArrivalAtMs: (socket: Socket) => number;
  /** Is notified of the bytes that are held for a connection until they are parsed; may destroy the connection. */
  readonly holdUnparsedBytes: (socket: Socket, bytes: number) => void;
  /** Is notified of how many milliseconds bytes that had to wait were unparsed. */
  readonly reportWait: (waitedMs: number) => void;
}): PacedReading => {
  const connections = new WeakMap<Socket, PacedConnection>();
  const queue = createWorkQueue();
  const gate = createReadGate();
  let parsingMs = 0;
  let isTurnEndDue = false;

  const hasTimeLeft = (): boolean => parsingMs < MAX_PARSING_PER_TURN_MS;

  const scheduleTurnEnd = (): void => {
    if (!isTurnEndDue) {
      isTurnEndDue = true;
      setImmediate(endTurn);
    }
  };

  const parse = (connection: PacedConnection): void => {
    const beganAtMs = getNowMs();
    parseSlice(connection);
    const workMs = getNowMs() - beganAtMs;
    connection.workMs += workMs;
    parsingMs += workMs;
  };

  const readOn = (connection: PacedConnection): void => {
    gate.readOn(connection);
    scheduleTurnEnd();
  };

  /** Reads on, or reports the end, although nothing is parsed. */
  const settlePaused = (connection: PacedConnection): void => {
    if (connection.hasEnded) {
      connection.reportEarlyEnd();
    } else if (mayReadWhilePaused(connection)) {
      // The pause has stopped reading past the gate.
      gate.stop(connection);
      readOn(connection);
    }
  };

  /** Does what follows from the bytes that are left: keeps them until their turn, reads on, or delivers the end. */
  const settle = (connection: PacedConnection): void => {
    const { socket, blocks } = connection;
    blocks.forEach((block, index) => {
      blocks[index] = storeBlock(block, sharedBlockPool);
    });
    if (isParsable(connection)) {
      queue.add(connection);
    }
    holdUnparsedBytes(socket, countHeldBytes(connection));
    if (isPaused(connection)) {
      settlePaused(connection);
      return;
    }
    if (blocks.length > 0 || socket.destroyed) {
      return;
    }
    if (connection.hasEnded) {
      connection.hasEnded = false;
      connection.deliver(null);
    } else if (connection.isReadDue && socket.readableFlowing === true) {
      connection.isReadDue = false;
      readOn(connection);
    }
  };

  const parseInTurn = (connection: PacedConnection): void => {
    const [block] = connection.blocks;
    if (block !== undefined && isParsable(connection)) {
      reportWait(getNowMs() - block.readAtMs);
      parse(connection);
    }
    settle(connection);
  };

  /** Runs once per turn of the event loop in which something was read or parsed, after all sockets were read. */
  const endTurn = (): void => {
    isTurnEndDue = false;
    parsingMs = 0;
    for (
      let next = queue.takeNext();
      next !== undefined;
      next = hasTimeLeft() ? queue.takeNext() : undefined
    ) {
      parseInTurn(next);
    }
    parsingMs = 0;
    const hasMoreToRead = gate.startTurn();
    if (hasMoreToRead || queue.countWaiting() > 0) {
      scheduleTurnEnd();
    }
  };

  /** Parses at once if nobody waits and this turn has time left, else lets the connection wait. */
  const parseOrWait = (connection: PacedConnection): void => {
    scheduleTurnEnd();
    while (queue.countWaiting() === 0 && hasTimeLeft() && isParsable(connection)) {
      parse(connection);
    }
    settle(connection);
  };

  const discard = (connection: PacedConnection): void => {
    queue.remove(connection);
    connection.blocks.forEach((block) => {
      releaseBlock(block, sharedBlockPool);
    });
    connection.blocks.length = 0;
    settle(connection);
  };

  /** Takes what was read from the kernel. Returns whether reading goes on. */
  const receive = (connection: PacedConnection, bytes: Buffer): boolean => {
    connection.blocks.push({
      bytes,
      earliestArrivalAtMs: getEarliestArrivalAtMs(connection.socket),
      readAtMs: getNowMs(),
      parsedBytes: 0,
    });
    gate.recordRead(bytes.length);
    parseOrWait(connection);
    if (connection.blocks.length > 0 && !mayReadWhilePaused(connection)) {
      gate.stop(connection);
    }
    return gate.isReading(connection);
  };

  return {
    addConnection: (socket, reportEarlyEnd) => {
      const connection: PacedConnection = {
        socket,
        deliver: socket.push.bind(socket),
        read: socket._read.bind(socket, 0),
        reportEarlyEnd,
        blocks: [],
        hasEnded: false,
        isReadDue: false,
        workMs: 0,
      };
      connections.set(socket, connection);
      gate.add(connection);
      socket.push = (bytes: Buffer | null) => {
        if (bytes !== null) {
          return receive(connection, bytes);
        }
        connection.hasEnded = true;
        settle(connection);
        return false;
      };
      socket._read = () => {
        connection.isReadDue = true;
        settle(connection);
      };
      socket.on('resume', () => {
        parseOrWait(connection);
      });
      // Nothing of a connection that is paused and has its last response is served any more.
      socket.once('finish', () => {
        if (socket.readableFlowing !== true) {
          discard(connection);
        }
      });
      socket.once('close', () => {
        gate.remove(connection);
        discard(connection);
      });
      readThroughStream(socket);
    },
    countUnparsedBytes: (socket) => {
      const connection = connections.get(socket);
      return connection === undefined ? 0 : countUnparsedBytes(connection);
    },
    getEarliestArrivalAtMs: (socket) =>
      connections.get(socket)?.current?.earliestArrivalAtMs ?? getEarliestArrivalAtMs(socket),
    countWaitingConnections: queue.countWaiting,
  };
};
