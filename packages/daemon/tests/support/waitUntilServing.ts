import { setTimeout as delay } from 'node:timers/promises';
import type { ProcessStatus } from '@parsleyhall/clients';
import type { DaemonProcess } from './daemonProcess.js';

const POLL_MS = 20;

/** Polls an entry's status until it has a configuration and a greeting from each of the given side processes. */
export const waitUntilServing = async (
  entry: DaemonProcess,
  sides: readonly string[],
): Promise<void> => {
  const isServing = async (): Promise<boolean> => {
    const answer = await fetch(`http://${entry.listeners.operators ?? ''}/status`);
    const status = (await answer.json()) as ProcessStatus;
    const greeted = status.sides.filter(({ isConnected, pool }) => isConnected && pool !== '');
    return (
      status.configurationVersion > 0 &&
      sides.every((side) => greeted.some((known) => known.side === side))
    );
  };
  while (!(await isServing())) {
    await delay(POLL_MS);
  }
};
