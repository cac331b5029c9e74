import { EitherAsync } from 'purify-ts';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import { formatFailure } from '../failure/formatFailure.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { showStatus } from './showStatus.js';

const REFRESH_INTERVAL_MS = 2_000;

/** Prints the status periodically until the operator interrupts it; failures are printed and the request is retried. */
export const watchStatus = (
  session: Pick<OperatorSession, 'environment' | 'hostList'>,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async () => {
    const { environment } = session;
    while (!environment.isStopped()) {
      const shown = await showStatus(session);
      const text = shown.caseOf({ Left: formatFailure, Right: (output) => output.text });
      environment.print(`${new Date(environment.getNowMs()).toISOString()}\n${text}`);
      await environment.wait(REFRESH_INTERVAL_MS);
    }
    return { text: '', json: undefined };
  });
