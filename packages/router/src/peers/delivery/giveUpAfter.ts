/** An entry that has been silent for so long has most likely ended. */
export const GIVE_UP_AFTER_MS = 60_000;
