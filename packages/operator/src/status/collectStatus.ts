import { EitherAsync, Left } from 'purify-ts';
import type { ListedProcess, PlatformFailure } from '@parsleyhall/clients';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorWorld } from '../commandLine/operatorWorld.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import type { ProcessReport } from './processReport.js';

const PROCESSES_ASKED_AT_ONCE = 32;

const askProcess = async (
  world: Pick<OperatorWorld, 'getStatus'>,
  listed: ListedProcess,
): Promise<ProcessReport> => {
  const failure: PlatformFailure = { type: 'unavailable', detail: 'no operators address listed' };
  return listed.operatorAddress === undefined
    ? { listed, status: Left(failure) }
    : { listed, status: await world.getStatus(listed.operatorAddress) };
};

/** Asks every listed process for its status; a process that does not answer is part of the result. */
export const collectStatus = ({
  world,
  hostList,
}: Pick<OperatorSession, 'world' | 'hostList'>): EitherAsync<
  OperatorFailure,
  readonly ProcessReport[]
> =>
  EitherAsync(async (steps) => {
    const list = await hostList.list();
    const { hosts } = await steps.liftEither(
      list.mapLeft<OperatorFailure>((failure) => ({ type: 'hostListFailed', failure })),
    );
    const reports: ProcessReport[] = [];
    for (let start = 0; start < hosts.length; start += PROCESSES_ASKED_AT_ONCE) {
      const group = hosts.slice(start, start + PROCESSES_ASKED_AT_ONCE);
      reports.push(...(await Promise.all(group.map((listed) => askProcess(world, listed)))));
    }
    return reports;
  });
