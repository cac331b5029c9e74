import type { ListenerAddress } from './listenerAddress.js';

/** The two parts of an `ip:port`. */
export const splitAddress = (address: string): ListenerAddress => {
  const at = address.lastIndexOf(':');
  return { address: address.slice(0, at), port: Number(address.slice(at + 1)) };
};
