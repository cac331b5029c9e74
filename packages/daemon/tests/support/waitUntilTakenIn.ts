import { setTimeout as delay } from 'node:timers/promises';
import type { ProcessStatus } from '@parsleyhall/clients';
import type { DaemonProcess } from './daemonProcess.js';

const POLL_MS = 5;
const ENDED = /(^|_)requests_total\{/;

const sum = (counts: readonly number[]): number => counts.reduce((all, count) => all + count, 0);

const countCalls = ({ waitingByTier, runningByTier, counters }: ProcessStatus): number => {
  const ended = Object.entries(counters).filter(([series]) => ENDED.test(series));
  return (
    sum(Object.values(waitingByTier)) +
    sum(Object.values(runningByTier)) +
    sum(ended.map(([, count]) => count))
  );
};

/** Polls an entry's status until it has taken in this many calls since its start. */
export const waitUntilTakenIn = async (entry: DaemonProcess, calls: number): Promise<void> => {
  const countTakenIn = async (): Promise<number> => {
    const answer = await fetch(`http://${entry.listeners.operators ?? ''}/status`);
    return countCalls((await answer.json()) as ProcessStatus);
  };
  while ((await countTakenIn()) < calls) {
    await delay(POLL_MS);
  }
};
