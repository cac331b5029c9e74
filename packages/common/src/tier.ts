/** Urgency of a request: 1 is the highest, 4 the lowest. */
export type Tier = 1 | 2 | 3 | 4;
