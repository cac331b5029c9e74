import { computeFingerprint } from '@parsleyhall/common';
import { PREFIX_BLOCKS } from './prefixBlocks.js';

/** Computes fingerprints of the complete blocks at a prompt's start; each covers all text up to the end of its block. */
export const computePrefixFingerprints = (prompt: string): readonly number[] => {
  const { charactersPerBlock, maximumBlocks } = PREFIX_BLOCKS;
  const blocks = Math.min(maximumBlocks, Math.floor(prompt.length / charactersPerBlock));
  return Array.from({ length: blocks }, (_, index) =>
    computeFingerprint(prompt.slice(0, (index + 1) * charactersPerBlock)),
  );
};
