const TIME_HEX_DIGITS = 12;

/** A version 7 UUID made at a wall-clock time, in milliseconds since 1970. */
export const newKey = (madeAtMs: number, operation: number): string => {
  const time = madeAtMs.toString(16).padStart(TIME_HEX_DIGITS, '0');
  const rest = operation.toString(16).padStart(TIME_HEX_DIGITS, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${rest}`;
};
