import { EitherAsync, Left } from 'purify-ts';
import type { ListedProcess, PlatformFailure } from '@parsleyhall/clients';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorEnvironment } from '../commandLine/operatorEnvironment.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import type { ProcessReport } from './processReport.js';

const MAX_CONCURRENT_STATUS_REQUESTS = 32;

const requestStatus = async (
  environment: Pick<OperatorEnvironment, 'getStatus'>,
  listed: ListedProcess,
): Promise<ProcessReport> => {
  const failure: PlatformFailure = {
    type: 'unavailable',
    detail: 'its operator address is not listed',
  };
  return listed.operatorAddress === undefined
    ? { listed, status: Left(failure) }
    : { listed, status: await environment.getStatus(listed.operatorAddress) };
};

/** Requests the status of every listed process; a process that does not respond is part of the result, with the failure. */
export const collectStatus = ({
  environment,
  hostList,
}: Pick<OperatorSession, 'environment' | 'hostList'>): EitherAsync<
  OperatorFailure,
  readonly ProcessReport[]
> =>
  EitherAsync(async (steps) => {
    const list = await hostList.list();
    const { hosts } = await steps.liftEither(
      list.mapLeft<OperatorFailure>((failure) => ({ type: 'hostListFailed', failure })),
    );
    const reports: ProcessReport[] = [];
    for (let start = 0; start < hosts.length; start += MAX_CONCURRENT_STATUS_REQUESTS) {
      const group = hosts.slice(start, start + MAX_CONCURRENT_STATUS_REQUESTS);
      reports.push(
        ...(await Promise.all(group.map((listed) => requestStatus(environment, listed)))),
      );
    }
    return reports;
  });
