import type { PeerDigest } from '@parsleyhall/routing';
import type { RARE_PART_PARSERS } from './rarePartParsers.js';

/** The parts that most digests do not have. */
export type RareParts = Pick<PeerDigest, 'quotaRecent' | keyof typeof RARE_PART_PARSERS>;
