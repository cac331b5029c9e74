import fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import type { HostName } from '@parsleyhall/common';
import {
  adoptConfiguration,
  type ConfigurationLogRecord,
  type ConfigurationReader,
  type ConfigurationRecord,
  type ConfigurationState,
  EMPTY_CONFIGURATION_READER,
  hasGap,
  isCheckpointDue,
  createCheckpoint,
  foldConfigurationPage,
} from '@parsleyhall/configuration';
import { createTestDocument } from './createTestDocument.js';

const RECORD_SPACING_MS = 10;

const readUpTo = (
  reader: ConfigurationReader,
  log: readonly ConfigurationLogRecord[],
  { earliest, end }: { readonly earliest: number; readonly end: number },
): ConfigurationReader => {
  const from = Math.max(reader.nextOffset, earliest);
  const records = log.filter(({ offset }) => offset >= from && offset < end);
  return foldConfigurationPage(reader, { from, nextOffset: Math.max(from, end), records }).reader;
};

type Step =
  | { readonly type: 'change'; readonly kind: number; readonly lag: number; readonly id: number }
  | { readonly type: 'checkpoint'; readonly lag: number };

const change = fc.record({
  type: fc.constant('change' as const),
  kind: fc.nat(5),
  lag: fc.nat(3),
  id: fc.nat(12),
});
const checkpoint = fc.record({ type: fc.constant('checkpoint' as const), lag: fc.nat(4) });
const steps = fc.array(fc.oneof({ weight: 4, arbitrary: change }, checkpoint), {
  minLength: 1,
  maxLength: 25,
});

const createChange = (
  kind: number,
  common: { readonly publicationId: string; readonly base: number; readonly operator: string },
): ConfigurationRecord => {
  const host = 'host-1' as HostName;
  switch (kind) {
    case 0:
      return { ...common, type: 'publish', document: createTestDocument(['ordinary', 'peak']) };
    case 1:
      return { ...common, type: 'publish', document: createTestDocument(['peak', 'maintenance']) };
    case 2:
      return { ...common, type: 'usePreset', preset: 'peak' };
    case 3:
      return { ...common, type: 'usePreset', preset: 'maintenance' };
    case 4:
      return { ...common, type: 'drainHost', host };
    default:
      return { ...common, type: 'restoreHost', host };
  }
};

// Builds a log as concurrent operators and processes write it: the author of each record has not yet read the last
// `lag` records.
const buildLog = (plan: readonly Step[]): readonly ConfigurationLogRecord[] => {
  const history: ConfigurationReader[] = [EMPTY_CONFIGURATION_READER];
  return plan.reduce<readonly ConfigurationLogRecord[]>((log, step, index) => {
    const authorReader =
      history[Math.max(0, history.length - 1 - step.lag)] ?? EMPTY_CONFIGURATION_READER;
    const value =
      step.type === 'checkpoint'
        ? createCheckpoint(authorReader, `checkpoint-${index}`)
        : createChange(step.kind, {
            publicationId: `change-${step.id}`,
            base: authorReader.state.version,
            operator: 'test',
          });
    const offset = index + 1;
    const next = [...log, { offset, appendedAtMs: offset * RECORD_SPACING_MS, value }];
    const last = history.at(-1) ?? EMPTY_CONFIGURATION_READER;
    history.push(readUpTo(last, next, { earliest: 1, end: offset + 1 }));
    return next;
  }, []);
};

const getStatesByVersion = (
  log: readonly ConfigurationLogRecord[],
): ReadonlyMap<number, ConfigurationState> => {
  const states = new Map<number, ConfigurationState>();
  let reader = EMPTY_CONFIGURATION_READER;
  for (const { offset } of log) {
    reader = readUpTo(reader, log, { earliest: 1, end: offset + 1 });
    states.set(reader.state.version, reader.state);
  }
  return states;
};

type ReaderAction =
  | { readonly type: 'read'; readonly records: number }
  | { readonly type: 'trim'; readonly records: number }
  | { readonly type: 'adopt'; readonly peer: number }
  | { readonly type: 'restart' };

const readerActions = fc.array(
  fc.record({
    reader: fc.nat(2),
    action: fc.oneof(
      fc.record({ type: fc.constant('read' as const), records: fc.nat(6) }),
      fc.record({ type: fc.constant('trim' as const), records: fc.nat(4) }),
      fc.record({ type: fc.constant('adopt' as const), peer: fc.nat(2) }),
      fc.constant({ type: 'restart' as const }),
    ),
  }),
  { maxLength: 40 },
);

const applyAction = (
  readers: readonly ConfigurationReader[],
  position: number,
  {
    action,
    log,
    earliest,
  }: {
    readonly action: ReaderAction;
    readonly log: readonly ConfigurationLogRecord[];
    readonly earliest: number;
  },
): ConfigurationReader => {
  const reader = readers[position] ?? EMPTY_CONFIGURATION_READER;
  switch (action.type) {
    case 'read': {
      const from = Math.max(reader.nextOffset, earliest);
      return readUpTo(reader, log, {
        earliest,
        end: Math.min(log.length + 1, from + action.records),
      });
    }
    case 'adopt':
      return adoptConfiguration(reader, (readers[action.peer] ?? EMPTY_CONFIGURATION_READER).state);
    case 'restart':
      return EMPTY_CONFIGURATION_READER;
    case 'trim':
      return reader;
  }
};

describe('configuration readers', () => {
  test('agree on the state of each version and never go back, despite trimming, adopted states and restarts', () => {
    fc.assert(
      fc.property(steps, readerActions, (plan, actions) => {
        const log = buildLog(plan);
        const expected = getStatesByVersion(log);
        const readers: ConfigurationReader[] = [0, 1, 2].map(() => EMPTY_CONFIGURATION_READER);
        let earliest = 1;
        for (const { reader: position, action } of actions) {
          earliest =
            action.type === 'trim' ? Math.min(log.length + 1, earliest + action.records) : earliest;
          const before = readers[position] ?? EMPTY_CONFIGURATION_READER;
          const after = applyAction(readers, position, { action, log, earliest });
          readers[position] = after;
          if (action.type !== 'restart') {
            expect(after.state.version).toBeGreaterThanOrEqual(before.state.version);
          }
          expect(after.state).toEqual(
            after.state.version === 0
              ? EMPTY_CONFIGURATION_READER.state
              : expected.get(after.state.version),
          );
        }
      }),
      { seed: 3, numRuns: 600 },
    );
  });

  test('reach the last version after reading to the end without a gap', () => {
    fc.assert(
      fc.property(steps, fc.nat(25), (plan, trimmed) => {
        const log = buildLog(plan);
        const last = Math.max(0, ...getStatesByVersion(log).keys());
        const earliest = Math.min(trimmed, log.length) + 1;
        const reader = readUpTo(EMPTY_CONFIGURATION_READER, log, { earliest, end: log.length + 1 });
        const hasCoveringCheckpoint = log.some(
          ({ offset, value }) =>
            offset >= earliest &&
            (value as ConfigurationRecord).type === 'checkpoint' &&
            (value as { readonly foldedTo: number }).foldedTo >= earliest - 1,
        );
        expect(hasGap(reader)).toBe(earliest > 1 && !hasCoveringCheckpoint);
        expect(reader.state.version).toBe(hasGap(reader) ? 0 : last);
      }),
      { seed: 4, numRuns: 600 },
    );
  });

  test('accept exactly one of several changes with the same base, and detect stale and repeated ones', () => {
    fc.assert(
      fc.property(steps, fc.integer({ min: 2, max: 5 }), (plan, changeCount) => {
        const log = buildLog([{ type: 'change', kind: 0, lag: 0, id: 0 }, ...plan]);
        const reader = readUpTo(EMPTY_CONFIGURATION_READER, log, {
          earliest: 1,
          end: log.length + 1,
        });
        const changes = Array.from({ length: changeCount }, (_, index) => index).map((index) => ({
          offset: log.length + 1 + index,
          appendedAtMs: 0,
          value: createChange(4, {
            publicationId: `race-${index}`,
            base: reader.state.version,
            operator: `operator-${index}`,
          }),
        }));
        const repeat = { ...changes[0], offset: log.length + 1 + changeCount, appendedAtMs: 0 };
        const { verdicts } = foldConfigurationPage(reader, {
          from: log.length + 1,
          nextOffset: log.length + 2 + changeCount,
          records: [...changes, { ...repeat, value: changes[0]?.value }],
        });
        expect(verdicts.map(({ verdict }) => verdict)).toEqual([
          { type: 'accepted', version: log.length + 1 },
          ...changes.slice(1).map(() => ({
            type: 'staleBase',
            base: reader.state.version,
            currentVersion: log.length + 1,
          })),
          { type: 'repeated', publicationId: 'race-0' },
        ]);
      }),
      { seed: 5, numRuns: 200 },
    );
  });

  test('can always start from the retained log if checkpoints are appended when due', () => {
    const retentionRecords = 20;
    const retentionMs = retentionRecords * RECORD_SPACING_MS;
    fc.assert(
      fc.property(
        fc.array(fc.boolean(), { minLength: 100, maxLength: 200 }),
        fc.double({ min: 0, max: 1, noNaN: true }),
        (changes, stagger) => {
          const log: ConfigurationLogRecord[] = [];
          let reader = EMPTY_CONFIGURATION_READER;
          const append = (nowMs: number, value: unknown): void => {
            const offset = log.length + 1;
            log.push({ offset, appendedAtMs: nowMs, value });
            reader = readUpTo(reader, log, { earliest: 1, end: offset + 1 });
          };
          for (const [index, isChange] of [true, ...changes].entries()) {
            const nowMs = index * RECORD_SPACING_MS;
            if (isCheckpointDue({ reader, nowMs, retentionMs, stagger })) {
              append(nowMs, createCheckpoint(reader, `checkpoint-${index}`));
            }
            if (isChange) {
              const base = reader.state.version;
              const common = { publicationId: `change-${index}`, base, operator: 'test' };
              append(nowMs, createChange(base === 0 ? 0 : 4, common));
            }
            const retained = log.filter(({ appendedAtMs }) => appendedAtMs >= nowMs - retentionMs);
            const newReader = readUpTo(EMPTY_CONFIGURATION_READER, log, {
              earliest: retained[0]?.offset ?? log.length + 1,
              end: log.length + 1,
            });
            expect(newReader.state).toEqual(reader.state);
          }
        },
      ),
      { seed: 6, numRuns: 60 },
    );
  });
});
