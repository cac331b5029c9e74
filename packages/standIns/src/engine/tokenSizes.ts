/** Sizes with which text is counted in tokens and divided into prefix blocks. */
export const TOKEN_SIZES = {
  charactersPerToken: 4,
  charactersPerBlock: 256,
  tokensPerBlock: 64,
  fingerprintedBlocks: 16,
} as const;
