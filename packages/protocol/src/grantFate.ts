/**
 * What became of a grant: running, done with the answer kept, never received (the grant is burnt and the request did
 * not run), or unknown (this incarnation did not issue it and its target does not know the request).
 */
export type GrantFate = 'running' | 'done' | 'neverReceived' | 'unknown';
