/** How a path between entries and a target is: open, or each byte late, or none comes through, or connections are reset. */
export type PathState = 'open' | 'delayed' | 'silent' | 'reset';
