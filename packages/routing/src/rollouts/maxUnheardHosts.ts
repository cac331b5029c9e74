/** The most hosts that a digest names as unheard, so that it stays short. */
export const MAX_UNHEARD_HOSTS = 16;
