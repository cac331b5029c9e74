/** Writes an event of a stream; its data is its id. */
export const toEvent = (id: number): string => `id: ${id}\ndata: ${id}\n\n`;
