import type { Work } from '../queue/work.js';

/** The key under which answer lengths of like work are learned. */
export const getLengthKey = ({ team, kind }: Pick<Work, 'team' | 'kind'>): string =>
  `${team}\u0000${kind}`;
