import { isIPv4 } from 'node:net';
import type { AddressBook } from './addressBook.js';

/** Addresses of other entries that one digest names; the next digest names the next ones. */
const ADDRESSES_PER_DIGEST = 4;

/** Creates an address book without addresses; the own address is never added. */
export const createAddressBook = (ownIp: string): AddressBook => {
  const addresses = new Set<string>();
  let nextIndex = 0;
  return {
    addresses,
    add: (added) => {
      added.forEach((address) => {
        if (!addresses.has(address) && address !== ownIp && isIPv4(address)) {
          addresses.add(address);
        }
      });
    },
    takeNext: () => {
      const all = [...addresses];
      const count = Math.min(ADDRESSES_PER_DIGEST, all.length);
      const next = [...all, ...all].slice(nextIndex, nextIndex + count);
      nextIndex = (nextIndex + next.length) % Math.max(1, all.length);
      return next;
    },
  };
};
