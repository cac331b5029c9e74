import { BlockList, isIPv6 } from 'node:net';

const MAPPED_IPV4 = /^::ffff:(\d+\.\d+\.\d+\.\d+)$/i;

const getFamily = (address: string): 'ipv4' | 'ipv6' => (isIPv6(address) ? 'ipv6' : 'ipv4');

const addRange = (list: BlockList, range: string): void => {
  const [address = '', prefix] = range.split('/');
  if (prefix === undefined) {
    list.addAddress(address, getFamily(address));
    return;
  }
  list.addSubnet(address, Number(prefix), getFamily(address));
};

/** Answers whether an IP address is among the ranges that the settings name. */
export const createPeerCheck = (
  ranges: readonly string[],
): ((address: string | undefined) => boolean) => {
  const list = new BlockList();
  ranges.forEach((range) => {
    addRange(list, range);
  });
  return (address) => {
    if (address === undefined) {
      return false;
    }
    const plain = MAPPED_IPV4.exec(address)?.[1] ?? address;
    return list.check(plain, getFamily(plain));
  };
};
