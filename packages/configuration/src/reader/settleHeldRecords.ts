import type { ConfigurationRecord } from '../log/configurationRecord.js';
import { configurationRecordSchema } from '../log/configurationRecordSchema.js';
import { foldConfigurationRecord } from '../log/foldConfigurationRecord.js';
import type { CheckpointAnchor } from './checkpointAnchor.js';
import type { ConfigurationLogRecord } from './configurationLogRecord.js';
import type { ConfigurationReader } from './configurationReader.js';
import { hasGap } from './hasGap.js';
import type { OffsetVerdict } from './offsetVerdict.js';

const FIRST_OFFSET = 1;

type Checkpoint = Extract<ConfigurationRecord, { readonly type: 'checkpoint' }>;

interface SettledReader {
  readonly reader: ConfigurationReader;
  readonly verdicts: readonly OffsetVerdict[];
}

const getCheckpoint = ({ offset, value }: ConfigurationLogRecord): Checkpoint | undefined => {
  if (typeof value !== 'object' || value === null || Reflect.get(value, 'type') !== 'checkpoint') {
    return undefined;
  }
  const parsed = configurationRecordSchema.safeParse(value);
  if (!parsed.success || parsed.data.type !== 'checkpoint') {
    return undefined;
  }
  const checkpoint = parsed.data;
  const isPlausible =
    checkpoint.state.version <= checkpoint.foldedTo && checkpoint.foldedTo < offset;
  return isPlausible ? checkpoint : undefined;
};

const findBridge = (reader: ConfigurationReader): Checkpoint | undefined =>
  reader.held
    .map(getCheckpoint)
    .find(
      (checkpoint) =>
        checkpoint !== undefined &&
        checkpoint.foldedTo >= reader.heldFrom - 1 &&
        checkpoint.state.version >= reader.state.version,
    );

const bridgeGap = (reader: ConfigurationReader): ConfigurationReader => {
  const checkpoint = hasGap(reader) ? findBridge(reader) : undefined;
  return checkpoint === undefined
    ? reader
    : { ...reader, state: checkpoint.state, foldedTo: checkpoint.foldedTo };
};

const moveAnchor = (
  reader: ConfigurationReader,
  record: ConfigurationLogRecord,
): CheckpointAnchor => {
  const isStart = record.offset === FIRST_OFFSET;
  const isCurrent = getCheckpoint(record)?.state.version === reader.state.version;
  return isStart || isCurrent
    ? { type: 'covered', atMs: record.appendedAtMs }
    : (reader.anchor ?? { type: 'unseen', atMs: record.appendedAtMs });
};

const foldHeldRecord = (
  { reader, verdicts }: SettledReader,
  record: ConfigurationLogRecord,
): SettledReader => {
  const anchored = { ...reader, anchor: moveAnchor(reader, record) };
  if (record.offset <= reader.foldedTo) {
    return { reader: anchored, verdicts };
  }
  const { offset, value } = record;
  const { state, verdict } = foldConfigurationRecord(reader.state, { offset, record: value });
  return {
    reader: { ...anchored, state, foldedTo: offset },
    verdicts: [...verdicts, { offset, verdict }],
  };
};

/** Folds the held records if no gap lies before them or one of them, a checkpoint, covers it. */
export const settleHeldRecords = (reader: ConfigurationReader): SettledReader => {
  const bridged = bridgeGap(reader);
  if (hasGap(bridged)) {
    return { reader, verdicts: [] };
  }
  const settled = bridged.held.reduce<SettledReader>(foldHeldRecord, {
    reader: bridged,
    verdicts: [],
  });
  return {
    reader: {
      ...settled.reader,
      foldedTo: Math.max(settled.reader.foldedTo, bridged.nextOffset - 1),
      heldFrom: bridged.nextOffset,
      held: [],
    },
    verdicts: settled.verdicts,
  };
};
