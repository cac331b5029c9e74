import { Client, credentials } from '@grpc/grpc-js';
import type { ClientDuplexStream } from '@grpc/grpc-js';
import {
  decodeBatch,
  decodeSideToEntryMessage,
  encodeEntryToSideMessage,
  linkService,
} from '@parsleyhall/protocol';
import type { MalformedMessage, SideToEntryMessage } from '@parsleyhall/protocol';
import { createOutbox } from './createOutbox.js';
import { getBackoffMs } from './getBackoffMs.js';
import type { LinkClient } from './linkClient.js';
import { linkOptions } from './linkOptions.js';
import type { Outbox } from './outbox.js';

type Stream = ClientDuplexStream<Uint8Array, Uint8Array>;

const openStream = (client: Client): Stream =>
  client.makeBidiStreamRequest(
    linkService.link.path,
    linkService.link.requestSerialize,
    linkService.link.responseDeserialize,
  );

/** Connects an entry to a side process at `ip:port`; every connection made or lost is told once. */
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
  const client = new Client(address, credentials.createInsecure(), linkOptions(maximumBodyBytes));
  let stream: Stream | undefined;
  let outbox: Outbox | undefined;
  let isConnected = false;
  let isDisposed = false;
  let failures = 0;
  let timer: NodeJS.Timeout | undefined;

  const dropStream = (): void => {
    const dropped = stream;
    const wasConnected = isConnected;
    stream = undefined;
    isConnected = false;
    dropped?.cancel();
    if (wasConnected && !isDisposed) {
      onDisconnected();
    }
  };

  const connectLater = (): void => {
    clearTimeout(timer);
    if (!isDisposed) {
      timer = setTimeout(connect, getBackoffMs(failures, getRandom));
      failures += 1;
    }
  };

  const connect = (): void => {
    const opened = openStream(client);
    stream = opened;
    outbox = createOutbox((batch) => {
      if (stream === opened) {
        opened.write(batch);
      }
    });
    const take = (bytes: Uint8Array): void => {
      if (stream === opened) {
        decodeSideToEntryMessage(bytes).caseOf({ Left: onMalformed, Right: onMessage });
      }
    };
    const lose = (): void => {
      if (stream === opened) {
        dropStream();
        connectLater();
      }
    };
    opened.on('metadata', () => {
      if (stream === opened) {
        failures = 0;
        isConnected = true;
        onConnected();
      }
    });
    opened.on('data', (bytes: Uint8Array) => {
      decodeBatch(bytes).caseOf({
        Left: onMalformed,
        Right: (messages) => {
          messages.forEach(take);
        },
      });
    });
    opened.on('error', lose);
    opened.on('end', lose);
  };

  connect();
  return {
    send: (message) => {
      if (isConnected) {
        outbox?.push(encodeEntryToSideMessage(message));
      }
    },
    reconnect: () => {
      dropStream();
      connectLater();
    },
    [Symbol.asyncDispose]: () => {
      isDisposed = true;
      clearTimeout(timer);
      dropStream();
      client.close();
      return Promise.resolve();
    },
  };
};
