/** Bits of the flags in a frame's content. */
export const FLAG_BITS = {
  tellsRecent: 1,
  knowsWindow: 2,
  isLeaving: 4,
  lacksNames: 8,
  wantsAllDirect: 16,
} as const;
