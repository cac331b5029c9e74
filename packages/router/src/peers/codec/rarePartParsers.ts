import type { PeerDigest } from '@parsleyhall/routing';
import { parseLimits } from '../parseLimits.js';
import { parsePromptReport } from '../parsePromptReport.js';
import { parseRollouts } from '../parseRollouts.js';

/**
 * The optional rare parts of a digest with their parsers, which return undefined for a malformed part. A part that is
 * listed here is sent and read as JSON.
 */
export const RARE_PART_PARSERS = {
  targetLimits: parseLimits,
  promptReport: parsePromptReport,
  rollouts: parseRollouts,
} satisfies {
  readonly [Part in keyof PeerDigest]?: (value: unknown) => PeerDigest[Part];
};
