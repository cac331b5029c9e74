import { setTimeout as sleep } from 'node:timers/promises';
import type { Callers } from '../callers/callers.js';
import type { SoakEntry } from '../system/soakEntry.js';
import type { SoakTarget } from '../system/soakTarget.js';
import { starveCpu } from '../system/starveCpu.js';
import type { Fault } from './fault.js';

interface SystemUnderTest {
  readonly entries: readonly SoakEntry[];
  readonly targets: readonly SoakTarget[];
  readonly callers: Callers;
}

/** Injects a fault; resolves once it is over. */
export const injectFault = async (
  fault: Fault,
  { entries, targets, callers }: SystemUnderTest,
): Promise<void> => {
  switch (fault.kind) {
    case 'kill':
      return entries[fault.entry]?.kill();
    case 'stop':
      return entries[fault.entry]?.stop();
    case 'pause':
      return entries[fault.entry]?.pause(fault.forMs);
    case 'starve':
      return starveCpu(fault.processes, fault.forMs);
    case 'resets':
      targets[fault.target]?.setResetting(true);
      await sleep(fault.forMs);
      targets[fault.target]?.setResetting(false);
      return;
    case 'slow':
      targets[fault.target]?.setSlow(true);
      await sleep(fault.forMs);
      targets[fault.target]?.setSlow(false);
      return;
    case 'unframed':
    case 'garbage':
    case 'lookAlike':
    case 'invalidStatus':
      targets[fault.target]?.setAnswerFault(fault.kind);
      await sleep(fault.forMs);
      targets[fault.target]?.setAnswerFault(undefined);
      return;
    case 'path':
      targets[fault.target]?.setProxyState(fault.state);
      await sleep(fault.forMs);
      targets[fault.target]?.setProxyState('open');
      return;
    case 'poisonPart':
      targets.forEach((target) => {
        target.setPoison(fault.part, true);
      });
      callers.setPoisonShare(fault.part, fault.share);
      await sleep(fault.forMs);
      callers.setPoisonShare(fault.part, 0);
      return;
    case 'limit':
      targets[fault.target]?.setLimit(fault.perSecond);
      await sleep(fault.forMs);
      targets[fault.target]?.setLimit(undefined);
      return;
    case 'burst':
      callers.multiplyRate(fault.times);
      await sleep(fault.forMs);
      callers.multiplyRate(1 / fault.times);
  }
};
