import type { SideId } from '@parsleyhall/common';
import type { MalformedMessage, SideToEntryMessage } from '@parsleyhall/protocol';
import { createLinkClient } from '../link/createLinkClient.js';
import type { LinkClient } from '../link/linkClient.js';
import type { SideLinks } from './sideLinks.js';

/** Creates an empty set of streams to side processes. */
export const createSideLinks = ({
  maximumBodyBytes,
  getRandom,
  onConnected,
  onMessage,
  onDisconnected,
  onMalformed,
}: {
  readonly maximumBodyBytes: number;
  readonly getRandom: () => number;
  readonly onConnected: (side: SideId) => void;
  readonly onMessage: (side: SideId, message: SideToEntryMessage) => void;
  readonly onDisconnected: (side: SideId) => void;
  readonly onMalformed: (side: SideId, fault: MalformedMessage) => void;
}): SideLinks => {
  const links = new Map<SideId, LinkClient>();

  const close = (side: SideId): void => {
    const link = links.get(side);
    links.delete(side);
    void link?.[Symbol.asyncDispose]();
  };

  const open = (side: SideId, address: string): void => {
    close(side);
    const link = createLinkClient({
      address,
      maximumBodyBytes,
      getRandom,
      onConnected: () => {
        onConnected(side);
      },
      onMessage: (message) => {
        onMessage(side, message);
      },
      onDisconnected: () => {
        onDisconnected(side);
      },
      onMalformed: (fault) => {
        onMalformed(side, fault);
      },
    });
    links.set(side, link);
  };

  return {
    open,
    close,
    reconnect: (side) => {
      links.get(side)?.reconnect();
    },
    send: (side, message) => {
      links.get(side)?.send(message);
    },
    [Symbol.asyncDispose]: () => {
      [...links.keys()].forEach(close);
      return Promise.resolve();
    },
  };
};
