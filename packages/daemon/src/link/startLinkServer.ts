import { Metadata, Server, ServerCredentials, status } from '@grpc/grpc-js';
import type { ServerDuplexStream } from '@grpc/grpc-js';
import type { EntryId, ListenerAddress } from '@parsleyhall/common';
import {
  decodeBatch,
  decodeEntryToSideMessage,
  encodeSideToEntryMessage,
  linkService,
} from '@parsleyhall/protocol';
import type { EntryToSideMessage, MalformedMessage } from '@parsleyhall/protocol';
import { createMessageBatcher } from './createMessageBatcher.js';
import { getLinkOptions } from './getLinkOptions.js';
import type { LinkServer } from './linkServer.js';
import type { MessageBatcher } from './messageBatcher.js';

type Stream = ServerDuplexStream<Uint8Array, Uint8Array>;

/** An entry's stream and the batcher of the messages that are written to it. */
interface Connection {
  readonly stream: Stream;
  readonly batcher: MessageBatcher;
}

const PORT_SUFFIX = /:\d+$/;

const getPeerAddress = (stream: Stream): string =>
  stream
    .getPeer()
    .replace(PORT_SUFFIX, '')
    .replace(/^\[|\]$/g, '');

const rejectStream = (stream: Stream, code: status, details: string): void => {
  stream.emit('error', { code, details });
};

const bind = (server: Server, { address, port }: ListenerAddress): Promise<string> => {
  const host = address.includes(':') ? `[${address}]` : address;
  return new Promise((resolve, reject) => {
    server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), (error, bound) => {
      if (error === null) {
        resolve(`${host}:${bound}`);
        return;
      }
      reject(error);
    });
  });
};

/**
 * Listens for entries. A stream is registered on its first message, which must be `hello`, and replaces an earlier stream
 * of the same entry.
 */
export const startLinkServer = async ({
  listen,
  maximumBodyBytes,
  isAllowedPeer,
  onConnected,
  onMessage,
  onDisconnected,
  onMalformed,
  onRefused,
}: {
  readonly listen: ListenerAddress;
  readonly maximumBodyBytes: number;
  readonly isAllowedPeer: (address: string) => boolean;
  readonly onConnected: (entry: EntryId) => void;
  readonly onMessage: (entry: EntryId, message: EntryToSideMessage) => void;
  readonly onDisconnected: (entry: EntryId) => void;
  readonly onMalformed: (fault: MalformedMessage, peer: string) => void;
  readonly onRefused: (address: string) => void;
}): Promise<LinkServer> => {
  const connections = new Map<EntryId, Connection>();
  const server = new Server(getLinkOptions(maximumBodyBytes));

  const removeConnection = (entry: EntryId, stream: Stream): void => {
    if (connections.get(entry)?.stream === stream) {
      connections.delete(entry);
      onDisconnected(entry);
    }
  };

  const registerConnection = (entry: EntryId, stream: Stream): void => {
    const previous = connections.get(entry);
    if (previous !== undefined) {
      removeConnection(entry, previous.stream);
      previous.stream.end();
    }
    const batcher = createMessageBatcher((batch) => {
      if (connections.get(entry)?.stream === stream) {
        stream.write(batch);
      }
    });
    connections.set(entry, { stream, batcher });
    onConnected(entry);
  };

  const handleStream = (stream: Stream): void => {
    let entry: EntryId | undefined;
    const handleFirstMessage = (message: EntryToSideMessage): void => {
      if (message.type !== 'hello') {
        rejectStream(stream, status.FAILED_PRECONDITION, 'the first message must be hello');
        return;
      }
      entry = message.entry;
      registerConnection(entry, stream);
      onMessage(entry, message);
    };
    const handleMessage = (message: EntryToSideMessage): void => {
      if (entry === undefined) {
        handleFirstMessage(message);
        return;
      }
      if (connections.get(entry)?.stream === stream) {
        onMessage(entry, message);
      }
    };
    const handleDisconnect = (): void => {
      if (entry !== undefined) {
        removeConnection(entry, stream);
      }
    };
    const reportMalformed = (fault: MalformedMessage): void => {
      onMalformed(fault, entry ?? getPeerAddress(stream));
    };
    stream.on('data', (bytes: Uint8Array) => {
      decodeBatch(bytes).caseOf({
        Left: reportMalformed,
        Right: (messages) => {
          for (const message of messages) {
            decodeEntryToSideMessage(message).caseOf({
              Left: reportMalformed,
              Right: handleMessage,
            });
          }
        },
      });
    });
    stream.on('error', handleDisconnect);
    stream.on('cancelled', handleDisconnect);
    stream.on('close', handleDisconnect);
    stream.on('end', () => {
      handleDisconnect();
      stream.end();
    });
    stream.sendMetadata(new Metadata());
  };

  server.addService(linkService, {
    link: (stream: Stream) => {
      const address = getPeerAddress(stream);
      if (!isAllowedPeer(address)) {
        onRefused(address);
        rejectStream(stream, status.PERMISSION_DENIED, 'this peer is not among those allowed');
        return;
      }
      handleStream(stream);
    },
  });

  const address = await bind(server, listen);
  return {
    address,
    send: (entry, message) => {
      connections.get(entry)?.batcher.push(encodeSideToEntryMessage(message));
    },
    close: (entry) => {
      const connection = connections.get(entry);
      if (connection !== undefined) {
        connection.batcher.flush();
        removeConnection(entry, connection.stream);
        connection.stream.end();
      }
    },
    [Symbol.asyncDispose]: () => {
      connections.clear();
      server.forceShutdown();
      return Promise.resolve();
    },
  };
};
