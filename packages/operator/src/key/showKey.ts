import { EitherAsync } from 'purify-ts';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import { formatTable } from '../commandLine/formatTable.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { getKeyCondition } from './getKeyCondition.js';
import { readKey } from './readKey.js';

/** Shows the owner of an idempotency key and the outcome of its run. */
export const showKey = (
  session: OperatorSession,
  key: string,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const { state, partition } = await steps.fromPromise(readKey(session, key));
    const condition = getKeyCondition(state);
    const rows = [
      ['condition', condition],
      ['partition', String(partition)],
      ['owner', state.owner?.attempt ?? 'none'],
      ['claimed at offset', String(state.owner?.offset ?? 'none')],
      ['response status', String(state.done?.status ?? 'none')],
      ['attempts that did not run', state.endedAttempts.join(', ') || 'none'],
    ];
    return {
      text: formatTable({ head: ['key', key], rows }),
      json: { key, partition, condition, ...state },
    };
  });
