/** The ids of a whole stream's events. */
export const SOUND_EVENTS: readonly number[] = Array.from({ length: 10 }, (_, index) => index + 1);
