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
import { createOutbox } from './createOutbox.js';
import { linkOptions } from './linkOptions.js';
import type { LinkServer } from './linkServer.js';
import type { Outbox } from './outbox.js';

type Stream = ServerDuplexStream<Uint8Array, Uint8Array>;

/** An entry's stream, with the messages on their way into it. */
interface Connection {
  readonly stream: Stream;
  readonly outbox: Outbox;
}

const PORT_SUFFIX = /:\d+$/;

const getPeerAddress = (stream: Stream): string =>
  stream
    .getPeer()
    .replace(PORT_SUFFIX, '')
    .replace(/^\[|\]$/g, '');

const refuse = (stream: Stream, code: status, details: string): void => {
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

/** Listens for entries. A stream counts from its first message, which must be `hello`; a newer one takes its place. */
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
  const streams = new Map<EntryId, Connection>();
  const server = new Server(linkOptions(maximumBodyBytes));

  const drop = (entry: EntryId, stream: Stream): void => {
    if (streams.get(entry)?.stream === stream) {
      streams.delete(entry);
      onDisconnected(entry);
    }
  };

  const admit = (entry: EntryId, stream: Stream): void => {
    const earlier = streams.get(entry);
    if (earlier !== undefined) {
      drop(entry, earlier.stream);
      earlier.stream.end();
    }
    const outbox = createOutbox((batch) => {
      if (streams.get(entry)?.stream === stream) {
        stream.write(batch);
      }
    });
    streams.set(entry, { stream, outbox });
    onConnected(entry);
  };

  const serve = (stream: Stream): void => {
    let entry: EntryId | undefined;
    const takeFirst = (message: EntryToSideMessage): void => {
      if (message.type !== 'hello') {
        refuse(stream, status.FAILED_PRECONDITION, 'the first message must be hello');
        return;
      }
      entry = message.entry;
      admit(entry, stream);
      onMessage(entry, message);
    };
    const take = (message: EntryToSideMessage): void => {
      if (entry === undefined) {
        takeFirst(message);
        return;
      }
      if (streams.get(entry)?.stream === stream) {
        onMessage(entry, message);
      }
    };
    const lose = (): void => {
      if (entry !== undefined) {
        drop(entry, stream);
      }
    };
    const noteMalformed = (fault: MalformedMessage): void => {
      onMalformed(fault, entry ?? getPeerAddress(stream));
    };
    stream.on('data', (bytes: Uint8Array) => {
      decodeBatch(bytes).caseOf({
        Left: noteMalformed,
        Right: (messages) => {
          for (const message of messages) {
            decodeEntryToSideMessage(message).caseOf({ Left: noteMalformed, Right: take });
          }
        },
      });
    });
    stream.on('error', lose);
    stream.on('cancelled', lose);
    stream.on('close', lose);
    stream.on('end', () => {
      lose();
      stream.end();
    });
    stream.sendMetadata(new Metadata());
  };

  server.addService(linkService, {
    link: (stream: Stream) => {
      const address = getPeerAddress(stream);
      if (!isAllowedPeer(address)) {
        onRefused(address);
        refuse(stream, status.PERMISSION_DENIED, 'this peer is not among those allowed');
        return;
      }
      serve(stream);
    },
  });

  const address = await bind(server, listen);
  return {
    address,
    send: (entry, message) => {
      streams.get(entry)?.outbox.push(encodeSideToEntryMessage(message));
    },
    close: (entry) => {
      const connection = streams.get(entry);
      if (connection !== undefined) {
        connection.outbox.flush();
        drop(entry, connection.stream);
        connection.stream.end();
      }
    },
    [Symbol.asyncDispose]: () => {
      streams.clear();
      server.forceShutdown();
      return Promise.resolve();
    },
  };
};
