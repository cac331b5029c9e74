/** Sizes for estimating a prompt's tokens and for splitting it into prefix blocks. */
export const PREFIX_BLOCKS = {
  charactersPerToken: 4,
  charactersPerBlock: 256,
  maximumBlocks: 16,
} as const;
