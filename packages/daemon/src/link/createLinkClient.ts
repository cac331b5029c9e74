import { Client, credentials } from '@grpc/grpc-js';
import type { ClientDuplexStream } from '@grpc/grpc-js';
import {
  decodeBatch,
  decodeSideToEntryMessage,
  encodeEntryToSideMessage,
  linkService,
} from '@parsleyhall/protocol';
import type { MalformedMessage, SideToEntryMessage } from '@parsleyhall/protocol';
import { createMessageBatcher } from './createMessageBatcher.js';
import { getBackoffMs } from './getBackoffMs.js';
import type { LinkClient } from './linkClient.js';
import { getLinkOptions } from './getLinkOptions.js';
import type { MessageBatcher } from './messageBatcher.js';

type Stream = ClientDuplexStream<Uint8Array, Uint8Array>;

const openStream = (client: Client): Stream =>
  client.makeBidiStreamRequest(
    linkService.link.path,
    linkService.link.requestSerialize,
    linkService.link.responseDeserialize,
  );

/** Connects an entry to a side process at `ip:port`; each connect and disconnect is reported once. */
export const createLinkClient = ({
  address,
  maximumBodyBytes,
  getRandom,
  onConnected,
  onMessage,
  onDisconnected,
  onMalformed,
}: {
  readonly address: string;
  readonly maximumBodyBytes: number;
  readonly getRandom: () => number;
  readonly onConnected: () => void;
  readonly onMessage: (message: SideToEntryMessage) => void;
  readonly onDisconnected: () => void;
  readonly onMalformed: (fault: MalformedMessage) => void;
}): LinkClient => {
  const client = new Client(
    address,
    credentials.createInsecure(),
    getLinkOptions(maximumBodyBytes),
  );
  let stream: Stream | undefined;
  let batcher: MessageBatcher | undefined;
  let isConnected = false;
  let isDisposed = false;
  let consecutiveFailures = 0;
  let reconnectTimer: NodeJS.Timeout | undefined;

  const closeStream = (): void => {
    const closed = stream;
    const wasConnected = isConnected;
    stream = undefined;
    isConnected = false;
    closed?.cancel();
    if (wasConnected && !isDisposed) {
      onDisconnected();
    }
  };

  const scheduleReconnect = (): void => {
    clearTimeout(reconnectTimer);
    if (!isDisposed) {
      reconnectTimer = setTimeout(connect, getBackoffMs(consecutiveFailures, getRandom));
      consecutiveFailures += 1;
    }
  };

  const connect = (): void => {
    const openedStream = openStream(client);
    stream = openedStream;
    batcher = createMessageBatcher((batch) => {
      if (stream === openedStream) {
        openedStream.write(batch);
      }
    });
    const handleMessage = (bytes: Uint8Array): void => {
      if (stream === openedStream) {
        decodeSideToEntryMessage(bytes).caseOf({ Left: onMalformed, Right: onMessage });
      }
    };
    const handleDisconnect = (): void => {
      if (stream === openedStream) {
        closeStream();
        scheduleReconnect();
      }
    };
    openedStream.on('metadata', () => {
      if (stream === openedStream) {
        consecutiveFailures = 0;
        isConnected = true;
        onConnected();
      }
    });
    openedStream.on('data', (bytes: Uint8Array) => {
      decodeBatch(bytes).caseOf({
        Left: onMalformed,
        Right: (messages) => {
          messages.forEach(handleMessage);
        },
      });
    });
    openedStream.on('error', handleDisconnect);
    openedStream.on('end', handleDisconnect);
  };

  connect();
  return {
    send: (message) => {
      if (isConnected) {
        batcher?.push(encodeEntryToSideMessage(message));
      }
    },
    reconnect: () => {
      closeStream();
      scheduleReconnect();
    },
    [Symbol.asyncDispose]: () => {
      isDisposed = true;
      clearTimeout(reconnectTimer);
      closeStream();
      client.close();
      return Promise.resolve();
    },
  };
};
