import type { EitherAsync } from 'purify-ts';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { collectStatus } from './collectStatus.js';
import { formatStatus } from './formatStatus.js';

/** Shows the configuration, load and shed tiers of every listed process. */
export const showStatus = (
  session: Pick<OperatorSession, 'environment' | 'hostList'>,
): EitherAsync<OperatorFailure, CommandOutput> =>
  collectStatus(session).map((reports) => ({
    text: formatStatus(reports),
    json: reports.map(({ listed, status }) => ({
      listed,
      ...status.caseOf<object>({
        Left: (failure) => ({ failure }),
        Right: (value) => ({ status: value }),
      }),
    })),
  }));
