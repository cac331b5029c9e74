import { EitherAsync } from 'purify-ts';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import { formatFailure } from '../failure/formatFailure.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { showStatus } from './showStatus.js';

const PERIOD_MS = 2_000;

/** Prints the status again and again until the operator stops it; an outage is printed and waited out. */
export const watchStatus = (
  session: Pick<OperatorSession, 'world' | 'hostList'>,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async () => {
    const { world } = session;
    while (!world.isStopped()) {
      const shown = await showStatus(session);
      const text = shown.caseOf({ Left: formatFailure, Right: (output) => output.text });
      world.print(`${new Date(world.getNowMs()).toISOString()}\n${text}`);
      await world.wait(PERIOD_MS);
    }
    return { text: '', json: undefined };
  });
