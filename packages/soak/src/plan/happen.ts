import { setTimeout as sleep } from 'node:timers/promises';
import type { Callers } from '../callers/callers.js';
import type { SoakEntry } from '../system/soakEntry.js';
import type { SoakTarget } from '../system/soakTarget.js';
import { starve } from '../system/starve.js';
import type { Fault } from './fault.js';

interface System {
  readonly entries: readonly SoakEntry[];
  readonly targets: readonly SoakTarget[];
  readonly callers: Callers;
}

/** Lets a fault happen; resolves once it is over. */
export const happen = async (
  fault: Fault,
  { entries, targets, callers }: System,
): Promise<void> => {
  switch (fault.kind) {
    case 'kill':
      return entries[fault.entry]?.kill();
    case 'stop':
      return entries[fault.entry]?.stop();
    case 'pause':
      return entries[fault.entry]?.pause(fault.forMs);
    case 'starve':
      return starve(fault.processes, fault.forMs);
    case 'resets':
      targets[fault.target]?.setResets(true);
      await sleep(fault.forMs);
      targets[fault.target]?.setResets(false);
      return;
    case 'slow':
      targets[fault.target]?.setSlow(true);
      await sleep(fault.forMs);
      targets[fault.target]?.setSlow(false);
      return;
    case 'path':
      targets[fault.target]?.setPath(fault.state);
      await sleep(fault.forMs);
      targets[fault.target]?.setPath('open');
      return;
    case 'burst':
      callers.multiply(fault.times);
      await sleep(fault.forMs);
      callers.multiply(1 / fault.times);
  }
};
