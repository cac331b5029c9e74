/** Urgency of a request: 1 is the most urgent, 4 the least. */
export type Tier = 1 | 2 | 3 | 4;
