import type { PeerDigest } from '@parsleyhall/routing';
import { RARE_PART_PARSERS } from './rarePartParsers.js';

/** The rare parts that a digest has, by their names in `PeerDigest`. */
export const selectRareParts = (digest: PeerDigest): Readonly<Record<string, unknown>> => {
  const { quotaRecent } = digest;
  const parts: Readonly<Record<string, unknown>> = { ...digest };
  return {
    ...(Object.keys(quotaRecent).length === 0 ? {} : { quotaRecent }),
    ...Object.fromEntries(
      Object.keys(RARE_PART_PARSERS)
        .map((name) => [name, parts[name]] as const)
        .filter(([, part]) => part !== undefined),
    ),
  };
};
