import { TOKEN_SIZES } from './tokenSizes.js';

/** Counts the tokens of a text, at least 1. */
export const countTokens = (text: string): number =>
  Math.max(1, Math.ceil(text.length / TOKEN_SIZES.charactersPerToken));
