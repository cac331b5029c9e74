import { setTimeout as delay } from 'node:timers/promises';
import type { ProcessStatus } from '@parsleyhall/clients';
import type { DaemonProcess } from './daemonProcess.js';

const POLL_MS = 5;
const ENDED_REQUESTS_SERIES = /(^|_)requests_total\{/;

const sum = (counts: readonly number[]): number => counts.reduce((all, count) => all + count, 0);

const countCalls = ({ waitingByTier, runningByTier, counters }: ProcessStatus): number => {
  const ended = Object.entries(counters).filter(([series]) => ENDED_REQUESTS_SERIES.test(series));
  return (
    sum(Object.values(waitingByTier)) +
    sum(Object.values(runningByTier)) +
    sum(ended.map(([, count]) => count))
  );
};

/** Polls an entry's status until it has accepted this many calls since its start. */
export const waitUntilAccepted = async (entry: DaemonProcess, calls: number): Promise<void> => {
  const readAcceptedCalls = async (): Promise<number> => {
    const answer = await fetch(`http://${entry.listeners.operators ?? ''}/status`);
    return countCalls((await answer.json()) as ProcessStatus);
  };
  while ((await readAcceptedCalls()) < calls) {
    await delay(POLL_MS);
  }
};
