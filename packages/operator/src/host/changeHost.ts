import { EitherAsync } from 'purify-ts';
import type { HostName } from '@parsleyhall/common';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import { readConfiguration } from '../configuration/readConfiguration.js';
import { submitChange } from '../configuration/submitChange.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';

const isListed = async ({ hostList }: OperatorSession, host: string): Promise<boolean> => {
  const list = await hostList.list();
  return list.map(({ hosts }) => hosts.some((listed) => listed.host === host)).orDefault(false);
};

/** Drains a host or puts it back into service. Only warns about a host that is not listed, since the list lags behind. */
export const changeHost = (
  session: OperatorSession,
  type: 'drainHost' | 'restoreHost',
  name: string,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const { environment, settings, log } = session;
    const host = name as HostName;
    const { history, state } = await steps.fromPromise(readConfiguration(log));
    if (!(await isListed(session, name))) {
      environment.printError(
        `Warning: the list of hosts does not contain ${name}, or cannot be reached.`,
      );
    }
    const { version, drainedHosts } = await steps.fromPromise(
      submitChange(session, history, {
        type,
        publicationId: environment.createPublicationId(),
        base: state.version,
        operator: settings.operator,
        host,
      }),
    );
    return {
      text: `Version ${version} is accepted; drained hosts: ${drainedHosts.join(', ') || 'none'}.`,
      json: { version, drainedHosts },
    };
  });
