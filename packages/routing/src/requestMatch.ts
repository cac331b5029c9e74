/** Whether a response names the request that waits for it, another one, or none. */
export type RequestMatch = 'own' | 'another' | 'none';
