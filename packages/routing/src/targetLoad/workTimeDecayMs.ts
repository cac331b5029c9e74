/** Time constant with which a reported work time loses its weight against what is usual for the target. */
export const WORK_TIME_DECAY_MS = 400;
