import { computeFingerprint } from '@parsleyhall/common';
import { TOKEN_SIZES } from './tokenSizes.js';

/**
 * Computes the fingerprints of the complete blocks at the start of a prompt. Each covers all text
 * up to the end of its block.
 */
export const computePrefixFingerprints = (prompt: string): readonly number[] => {
  const wholeBlocks = Math.floor(prompt.length / TOKEN_SIZES.charactersPerBlock);
  const blocks = Math.min(TOKEN_SIZES.fingerprintedBlocks, wholeBlocks);
  return Array.from({ length: blocks }, (_, index) =>
    computeFingerprint(prompt.slice(0, (index + 1) * TOKEN_SIZES.charactersPerBlock)),
  );
};
