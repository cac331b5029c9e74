import type { Ranked } from '../queue/ranked.js';
import { decayInflow } from './decayInflow.js';
import type { Inflow } from './inflow.js';

/** The slots that work which keeps arriving ahead of a waiting request keeps busy. */
export const getUrgentSlots = (
  inflows: readonly Inflow[],
  { rank, lane, isLate }: Ranked,
  nowMs: number,
): number =>
  inflows
    .filter((inflow) => {
      const ahead = inflow.rank - rank || inflow.lane - lane;
      return ahead < 0 || (ahead === 0 && isLate);
    })
    .reduce((sum, inflow) => sum + decayInflow(inflow, nowMs).slots, 0);
