import { rankByRendezvous } from '@parsleyhall/common';

/**
 * An entry that shares a limit gets at least this many sends per second of it. With less, shares would be so small that
 * the sends of many entries could coincide.
 */
const MIN_SHARE_PER_SECOND = 2;

/**
 * The share of a target's limit that an entry may use, in sends per second. A low limit is divided among a few of the
 * live entries, on which all agree without asking one another; the others send nothing there.
 */
export const getShareOfLimit = ({
  targetStart,
  limitPerSecond,
  hosts,
  host,
}: {
  readonly targetStart: string;
  readonly limitPerSecond: number;
  /** All live entries. */
  readonly hosts: readonly string[];
  readonly host: string;
}): number => {
  const sharers = Math.min(
    hosts.length,
    Math.max(1, Math.floor(limitPerSecond / MIN_SHARE_PER_SECOND)),
  );
  const isSharer = rankByRendezvous(targetStart, hosts).slice(0, sharers).includes(host);
  return isSharer ? limitPerSecond / sharers : 0;
};
