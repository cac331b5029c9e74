import type { ConfigurationRecord } from '../log/configurationRecord.js';
import { configurationRecordSchema } from '../log/configurationRecordSchema.js';
import { foldConfigurationRecord } from '../log/foldConfigurationRecord.js';
import type { ConfigurationLogRecord } from './configurationLogRecord.js';
import type { ConfigurationReader } from './configurationReader.js';
import { hasGap } from './hasGap.js';
import type { LastCheckpoint } from './lastCheckpoint.js';
import type { OffsetVerdict } from './offsetVerdict.js';

const FIRST_OFFSET = 1;

type Checkpoint = Extract<ConfigurationRecord, { readonly type: 'checkpoint' }>;

interface ReaderUpdate {
  readonly reader: ConfigurationReader;
  readonly verdicts: readonly OffsetVerdict[];
}

const parseCheckpoint = ({ offset, value }: ConfigurationLogRecord): Checkpoint | undefined => {
  if (typeof value !== 'object' || value === null || Reflect.get(value, 'type') !== 'checkpoint') {
    return undefined;
  }
  const parsed = configurationRecordSchema.safeParse(value);
  if (!parsed.success || parsed.data.type !== 'checkpoint') {
    return undefined;
  }
  const checkpoint = parsed.data;
  const isConsistent =
    checkpoint.state.version <= checkpoint.foldedTo && checkpoint.foldedTo < offset;
  return isConsistent ? checkpoint : undefined;
};

const findCoveringCheckpoint = (reader: ConfigurationReader): Checkpoint | undefined =>
  reader.pendingRecords
    .map(parseCheckpoint)
    .find(
      (checkpoint) =>
        checkpoint !== undefined &&
        checkpoint.foldedTo >= reader.pendingFromOffset - 1 &&
        checkpoint.state.version >= reader.state.version,
    );

const closeGapWithCheckpoint = (reader: ConfigurationReader): ConfigurationReader => {
  const checkpoint = hasGap(reader) ? findCoveringCheckpoint(reader) : undefined;
  return checkpoint === undefined
    ? reader
    : { ...reader, state: checkpoint.state, foldedTo: checkpoint.foldedTo };
};

const updateLastCheckpoint = (
  reader: ConfigurationReader,
  record: ConfigurationLogRecord,
): LastCheckpoint => {
  const isFirstRecord = record.offset === FIRST_OFFSET;
  const isCurrentCheckpoint = parseCheckpoint(record)?.state.version === reader.state.version;
  return isFirstRecord || isCurrentCheckpoint
    ? { type: 'seen', atMs: record.appendedAtMs }
    : (reader.lastCheckpoint ?? { type: 'notSeen', atMs: record.appendedAtMs });
};

const foldPendingRecord = (
  { reader, verdicts }: ReaderUpdate,
  record: ConfigurationLogRecord,
): ReaderUpdate => {
  const updated = { ...reader, lastCheckpoint: updateLastCheckpoint(reader, record) };
  if (record.offset <= reader.foldedTo) {
    return { reader: updated, verdicts };
  }
  const { offset, value } = record;
  const { state, verdict } = foldConfigurationRecord(reader.state, { offset, record: value });
  return {
    reader: { ...updated, state, foldedTo: offset },
    verdicts: [...verdicts, { offset, verdict }],
  };
};

/** Folds the pending records if there is no gap before them, or if one of them is a checkpoint that covers the gap. */
export const foldPendingRecords = (reader: ConfigurationReader): ReaderUpdate => {
  const restored = closeGapWithCheckpoint(reader);
  if (hasGap(restored)) {
    return { reader, verdicts: [] };
  }
  const update = restored.pendingRecords.reduce<ReaderUpdate>(foldPendingRecord, {
    reader: restored,
    verdicts: [],
  });
  return {
    reader: {
      ...update.reader,
      foldedTo: Math.max(update.reader.foldedTo, restored.nextOffset - 1),
      pendingFromOffset: restored.nextOffset,
      pendingRecords: [],
    },
    verdicts: update.verdicts,
  };
};
