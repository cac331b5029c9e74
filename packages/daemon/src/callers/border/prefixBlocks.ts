/** Sizes by which prompts are estimated and cut into prefix blocks. */
export const PREFIX_BLOCKS = {
  charactersPerToken: 4,
  charactersPerBlock: 256,
  maximumBlocks: 16,
} as const;
