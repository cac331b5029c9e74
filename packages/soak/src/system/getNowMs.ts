/** The soak's steady clock, in milliseconds. */
export const getNowMs = (): number => performance.now();
