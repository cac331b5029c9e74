import { BlockList, isIPv6 } from 'node:net';

const IPV4_MAPPED_ADDRESS = /^::ffff:(\d+\.\d+\.\d+\.\d+)$/i;

const getFamily = (address: string): 'ipv4' | 'ipv6' => (isIPv6(address) ? 'ipv6' : 'ipv4');

const addRange = (list: BlockList, range: string): void => {
  const [address = '', prefix] = range.split('/');
  if (prefix === undefined) {
    list.addAddress(address, getFamily(address));
    return;
  }
  list.addSubnet(address, Number(prefix), getFamily(address));
};

/** Creates a function that tells whether an IP address lies in one of the given addresses and ranges. */
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
    const unmappedAddress = IPV4_MAPPED_ADDRESS.exec(address)?.[1] ?? address;
    return list.check(unmappedAddress, getFamily(unmappedAddress));
  };
};
