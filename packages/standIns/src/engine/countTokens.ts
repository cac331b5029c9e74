import { TOKEN_SIZES } from './tokenSizes.js';

/** Tokens of a text. */
export const countTokens = (text: string): number =>
  Math.max(1, Math.ceil(text.length / TOKEN_SIZES.charactersPerToken));
