const MAXIMUM_COUNT = 0xffff_ffff;

/** Brings numbers into the range that the wire carries: whole 32-bit counts, finite non-negative quantities. */
export const wireNumbers = {
  toCount: (value: number): number =>
    Number.isNaN(value) ? 0 : Math.round(Math.min(MAXIMUM_COUNT, Math.max(0, value))),
  toQuantity: (value: number): number =>
    Number.isNaN(value) ? 0 : Math.min(Number.MAX_SAFE_INTEGER, Math.max(0, value)),
} as const;
