import { EitherAsync } from 'purify-ts';
import type { KeyRecord } from '@parsleyhall/entry';
import { getKeyStream } from '@parsleyhall/entry';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { getKeyCondition } from './getKeyCondition.js';
import { readKey } from './readKey.js';

const OUTCOMES = ['not-run', 'done'] as const;

const OK_STATUS = 200;

type Outcome = (typeof OUTCOMES)[number];

const isOutcome = (text: string | undefined): text is Outcome =>
  OUTCOMES.some((outcome) => outcome === text);

const createOutcomeRecord = (key: string, attempt: string, outcome: Outcome): KeyRecord =>
  outcome === 'not-run'
    ? { type: 'notRun', key, attempt }
    : { type: 'done', key, attempt, status: OK_STATUS, headers: {} };

/**
 * Records the outcome, as the operator established it, of a run whose outcome was unknown. `not-run` frees the key; `done`
 * keeps it claimed, and retries are told that the run is done and that its response was not kept. A key that is recorded
 * as running is settled only when the operator confirms that its owner is gone: freeing it during a live run could cause
 * a second run.
 */
export const settleKey = (
  session: OperatorSession,
  key: string,
  { outcome, isOwnerGone }: { readonly outcome: string | undefined; readonly isOwnerGone: boolean },
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    if (!isOutcome(outcome)) {
      return steps.throwE({
        type: 'badUse',
        detail: 'Name the outcome with --as not-run or --as done.',
      });
    }
    const { state, partition } = await steps.fromPromise(readKey(session, key));
    const condition = getKeyCondition(state);
    if (condition === 'running' && !isOwnerGone) {
      return steps.throwE({ type: 'keyRunning', key });
    }
    if (state.owner === undefined || condition === 'done') {
      return steps.throwE({ type: 'keySettled', key, condition });
    }
    const record = createOutcomeRecord(key, state.owner.attempt, outcome);
    const appended = await session.log.append({
      stream: getKeyStream(partition),
      records: [record],
    });
    await steps.liftEither(
      appended.mapLeft<OperatorFailure>((failure) => ({ type: 'logFailed', failure })),
    );
    const after = await steps.fromPromise(readKey(session, key));
    const settled = getKeyCondition(after.state);
    return { text: `Key ${key} is now ${settled}.`, json: { key, condition: settled } };
  });
