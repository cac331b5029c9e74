/** Encodes a text as a chunk of a response with `Transfer-Encoding: chunked`. */
export const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
