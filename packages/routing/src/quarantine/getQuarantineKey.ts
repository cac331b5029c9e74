/** The key of a combination of prompt parts; the parts must be sorted. */
export const getQuarantineKey = (parts: readonly string[]): string => parts.join(',');
