const CHARACTERS_PER_TOKEN = 4;

const fill = (text: string, characters: number): string =>
  text.repeat(Math.ceil(characters / text.length)).slice(0, characters);

/** A prompt of a given length that begins with a shared prefix and goes on with text of its own. */
export const newPrompt = (prompt: {
  readonly prefix: string;
  readonly prefixTokens: number;
  readonly promptTokens: number;
  readonly label: string;
}): string => {
  const prefixTokens = Math.min(prompt.prefixTokens, prompt.promptTokens);
  const shared = fill(`${prompt.prefix} `, prefixTokens * CHARACTERS_PER_TOKEN);
  const ownCharacters = (prompt.promptTokens - prefixTokens) * CHARACTERS_PER_TOKEN;
  return shared + fill(`${prompt.label} `, ownCharacters);
};
