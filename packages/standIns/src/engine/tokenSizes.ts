/** How text is counted in tokens and cut into prefix blocks. */
export const TOKEN_SIZES = {
  charactersPerToken: 4,
  charactersPerBlock: 256,
  tokensPerBlock: 64,
  fingerprintedBlocks: 16,
} as const;
