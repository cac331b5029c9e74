import type { RankedRequest } from '../queue/rankedRequest.js';
import { decayLoad } from '../load/decayLoad.js';
import type { AdmittedLoad } from '../load/admittedLoad.js';

/** The slots that are kept busy by work that arrives later but is sent before a waiting request. */
export const getUrgentSlots = (
  admittedLoads: readonly AdmittedLoad[],
  { priority, priorityClass, isLate }: RankedRequest,
  nowMs: number,
): number =>
  admittedLoads
    .filter((load) => {
      const ahead = load.priority - priority || load.priorityClass - priorityClass;
      return ahead < 0 || (ahead === 0 && isLate);
    })
    .reduce((sum, load) => sum + decayLoad(load, nowMs).slots, 0);
