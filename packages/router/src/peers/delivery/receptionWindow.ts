/** Frames of which an entry keeps whether they arrived; the newest ones may still be on the way and are not judged. */
export const RECEPTION_WINDOW = { keptFrames: 18, unjudgedFrames: 2 } as const;
