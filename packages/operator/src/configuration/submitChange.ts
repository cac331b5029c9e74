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

const SETTLE_POLLS = 10;
const SETTLE_POLL_MS = 1_000;

type OperatorRecord = Exclude<ConfigurationRecord, { readonly type: 'checkpoint' }>;

const getField = (value: unknown, field: string): unknown =>
  typeof value === 'object' && value !== null ? Reflect.get(value, field) : undefined;

const findVerdict = (
  { records, verdicts }: ConfigurationHistory,
  publicationId: string,
): ConfigurationVerdict | undefined => {
  const own = records.find(({ value }) => getField(value, 'publicationId') === publicationId);
  return verdicts.find(({ offset }) => offset === own?.offset)?.verdict;
};

const findOperator = ({ records }: ConfigurationHistory, version: number): string | undefined => {
  const winner = records.find(({ offset }) => offset === version);
  const operator = getField(winner?.value, 'operator');
  return typeof operator === 'string' ? operator : undefined;
};

const getFailure = (
  history: ConfigurationHistory,
  verdict: ConfigurationVerdict,
): OperatorFailure =>
  verdict.type === 'staleBase'
    ? {
        type: 'lostRace',
        base: verdict.base,
        currentVersion: verdict.currentVersion,
        winner: findOperator(history, verdict.currentVersion),
      }
    : { type: 'refused', verdict };

// Reads on until the change shows; a log that fails meanwhile is asked again, since the change may be in it.
const readUntilShown = async (
  { log, world }: Pick<OperatorSession, 'log' | 'world'>,
  start: ConfigurationHistory,
  publicationId: string,
): Promise<ConfigurationHistory> => {
  let history = start;
  for (let poll = 0; poll < SETTLE_POLLS; poll += 1) {
    const page = await readHistoryPage(log, history, SETTLE_POLL_MS);
    history = page.map((read) => read.history).orDefault(history);
    if (findVerdict(history, publicationId) !== undefined) {
      return history;
    }
    if (page.isLeft()) {
      await world.wait(SETTLE_POLL_MS);
    }
  }
  return history;
};

/**
 * Appends a change and reads it back. The append is made once: when its answer is lost, reading settles what became of
 * it. Gives the state with the change in force.
 */
export const submitChange = (
  session: Pick<OperatorSession, 'log' | 'world'>,
  history: ConfigurationHistory,
  record: OperatorRecord,
): EitherAsync<OperatorFailure, ConfigurationState> =>
  EitherAsync(async (steps) => {
    const { publicationId, base } = record;
    const appended = await session.log.append({ stream: CONFIGURATION_STREAM, records: [record] });
    const lost = appended.swap().toMaybe().extractNullable();
    if (lost !== null && lost.type !== 'outcomeUnknown') {
      return steps.throwE({ type: 'logFailed', failure: lost });
    }
    const shown = await readUntilShown(session, history, publicationId);
    const verdict = findVerdict(shown, publicationId);
    if (verdict === undefined) {
      return steps.throwE({ type: 'outcomeUnsettled', publicationId, base });
    }
    return verdict.type === 'accepted'
      ? shown.reader.state
      : steps.throwE(getFailure(shown, verdict));
  });
