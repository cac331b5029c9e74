import type { Target } from '../targets/target.js';
import type { NetSends } from './netSends.js';

/** Adds a change to the sends since the digest with this sequence number, and drops those from before it. */
export const countNetSends = (
  { netSends }: Pick<Target, 'netSends'>,
  sequence: number,
  change = 0,
): NetSends => ({
  sequence,
  count: (netSends?.sequence === sequence ? netSends.count : 0) + change,
});
