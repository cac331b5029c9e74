import { EitherAsync } from 'purify-ts';
import {
  CONFIGURATION_STREAM,
  type ConfigurationRecord,
  type ConfigurationState,
  type ConfigurationVerdict,
} from '@parsleyhall/configuration';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import type { ConfigurationHistory } from './configurationHistory.js';
import { readHistoryPage } from './readHistoryPage.js';

const VERDICT_POLL_COUNT = 10;
const VERDICT_POLL_MS = 1_000;

type ChangeRecord = Exclude<ConfigurationRecord, { readonly type: 'checkpoint' }>;

const getField = (value: unknown, field: string): unknown =>
  typeof value === 'object' && value !== null ? Reflect.get(value, field) : undefined;

const findVerdict = (
  { records, verdicts }: ConfigurationHistory,
  publicationId: string,
): ConfigurationVerdict | undefined => {
  const ownRecord = records.find(({ value }) => getField(value, 'publicationId') === publicationId);
  return verdicts.find(({ offset }) => offset === ownRecord?.offset)?.verdict;
};

const findOperatorOfVersion = (
  { records }: ConfigurationHistory,
  version: number,
): string | undefined => {
  const winner = records.find(({ offset }) => offset === version);
  const operator = getField(winner?.value, 'operator');
  return typeof operator === 'string' ? operator : undefined;
};

const toFailure = (
  history: ConfigurationHistory,
  verdict: ConfigurationVerdict,
): OperatorFailure =>
  verdict.type === 'staleBase'
    ? {
        type: 'lostRace',
        base: verdict.base,
        currentVersion: verdict.currentVersion,
        winner: findOperatorOfVersion(history, verdict.currentVersion),
      }
    : { type: 'refused', verdict };

// Reads until the record of the change appears; failed reads are retried, since the change may be in the log.
const readUntilVerdict = async (
  { log, environment }: Pick<OperatorSession, 'log' | 'environment'>,
  start: ConfigurationHistory,
  publicationId: string,
): Promise<ConfigurationHistory> => {
  let history = start;
  for (let poll = 0; poll < VERDICT_POLL_COUNT; poll += 1) {
    const page = await readHistoryPage(log, history, VERDICT_POLL_MS);
    history = page.map((read) => read.history).orDefault(history);
    if (findVerdict(history, publicationId) !== undefined) {
      return history;
    }
    if (page.isLeft()) {
      await environment.wait(VERDICT_POLL_MS);
    }
  }
  return history;
};

/**
 * Appends a change, reads it back and returns the state with the change in force. The append is never repeated: when its
 * response is lost, reading the stream shows whether it took effect.
 */
export const submitChange = (
  session: Pick<OperatorSession, 'log' | 'environment'>,
  history: ConfigurationHistory,
  record: ChangeRecord,
): EitherAsync<OperatorFailure, ConfigurationState> =>
  EitherAsync(async (steps) => {
    const { publicationId, base } = record;
    const appended = await session.log.append({ stream: CONFIGURATION_STREAM, records: [record] });
    const appendFailure = appended.swap().toMaybe().extractNullable();
    if (appendFailure !== null && appendFailure.type !== 'outcomeUnknown') {
      return steps.throwE({ type: 'logFailed', failure: appendFailure });
    }
    const latestHistory = await readUntilVerdict(session, history, publicationId);
    const verdict = findVerdict(latestHistory, publicationId);
    if (verdict === undefined) {
      return steps.throwE({ type: 'outcomeUnsettled', publicationId, base });
    }
    return verdict.type === 'accepted'
      ? latestHistory.reader.state
      : steps.throwE(toFailure(latestHistory, verdict));
  });
