/** Writes an event that looks like the one with this number. */
export const writeLookAlike = (number: number): string => `id: ${number}\ndata: garbage\n\n`;
