import {
  CONFIGURATION_STREAM,
  EMPTY_CONFIGURATION_READER,
  adoptConfiguration,
  isCheckpointDue,
  createCheckpoint,
  foldConfigurationPage,
} from '@parsleyhall/configuration';
import type { ConfigurationState } from '@parsleyhall/configuration';
import { followLog } from './followLog.js';
import type { LogFake } from './logFake.js';
import type { Simulation } from './simulation.js';
import { WORLD_SETTINGS } from './worldSettings.js';

/** Follows the configuration as a process does, with checkpoints; returns how it learns a peer's configuration. */
export const followConfiguration = ({
  simulation,
  log,
  process,
  retentionMs,
  stagger,
  run,
  onFolded,
  onFailure,
}: {
  readonly simulation: Simulation;
  readonly log: LogFake;
  readonly process: string;
  readonly retentionMs: number;
  readonly stagger: number;
  readonly run: (step: () => void) => void;
  readonly onFolded: (configuration: ConfigurationState) => void;
  readonly onFailure: () => void;
}): ((configuration: ConfigurationState) => void) => {
  let reader = EMPTY_CONFIGURATION_READER;
  let checkpoints = 0;
  const writeCheckpoint = (): void => {
    checkpoints += 1;
    const record = createCheckpoint(reader, `${process}/${checkpoints}`);
    log.append(CONFIGURATION_STREAM, [record], () => undefined);
  };
  followLog({
    simulation,
    log,
    stream: CONFIGURATION_STREAM,
    run,
    onFailure,
    onPage: ({ from, nextOffset, records, isAtEnd }) => {
      const before = reader.state.version;
      const pageRecords = records.map((record) => ({
        ...record,
        appendedAtMs: WORLD_SETTINGS.wallClockAtStartMs + record.appendedAtMs,
      }));
      reader = foldConfigurationPage(reader, { from, nextOffset, records: pageRecords }).reader;
      const nowMs = WORLD_SETTINGS.wallClockAtStartMs + simulation.getNowMs();
      if (isAtEnd && isCheckpointDue({ reader, nowMs, retentionMs, stagger })) {
        writeCheckpoint();
      }
      if (reader.state.version !== before) {
        onFolded(reader.state);
      }
    },
  });
  return (configuration) => {
    reader = adoptConfiguration(reader, configuration);
  };
};
