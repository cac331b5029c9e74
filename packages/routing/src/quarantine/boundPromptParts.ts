/** Further parts of a prompt are ignored. */
const MAX_PARTS = 32;
/** Longer ids are ignored, so that a few prompts cannot fill the digests of an entry. */
const MAX_ID_CHARS = 64;

/** The prompt parts of a request that are looked at: a bounded number, each with an id of bounded length. */
export const boundPromptParts = (parts: readonly string[] = []): readonly string[] =>
  parts.filter((part) => part.length <= MAX_ID_CHARS).slice(0, MAX_PARTS);
