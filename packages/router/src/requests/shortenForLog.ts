/** Longer texts of targets and callers are cut in logs. */
const MAX_LOGGED_CHARACTERS = 48;

/** Shortens a text from outside, so that a log line stays short whatever was sent; undefined stays undefined. */
export const shortenForLog = (text: string | undefined): string | undefined =>
  text?.slice(0, MAX_LOGGED_CHARACTERS);
