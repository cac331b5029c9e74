import type { ListenerAddress } from './listenerAddress.js';

/** Splits an `ip:port` into its two parts. */
export const splitAddress = (address: string): ListenerAddress => {
  const separatorIndex = address.lastIndexOf(':');
  return {
    address: address.slice(0, separatorIndex),
    port: Number(address.slice(separatorIndex + 1)),
  };
};
