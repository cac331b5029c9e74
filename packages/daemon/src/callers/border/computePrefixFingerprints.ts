import { computeFingerprint } from '@parsleyhall/common';
import { PREFIX_BLOCKS } from './prefixBlocks.js';

/** Fingerprints of the whole blocks at the start of a prompt; each covers all text up to its end. */
export const computePrefixFingerprints = (prompt: string): readonly number[] => {
  const { charactersPerBlock, maximumBlocks } = PREFIX_BLOCKS;
  const blocks = Math.min(maximumBlocks, Math.floor(prompt.length / charactersPerBlock));
  return Array.from({ length: blocks }, (_, index) =>
    computeFingerprint(prompt.slice(0, (index + 1) * charactersPerBlock)),
  );
};
