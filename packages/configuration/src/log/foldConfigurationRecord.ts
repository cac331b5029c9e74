import { assertNever } from '@parsleyhall/common';
import { checkDocument } from '../check/checkDocument.js';
import type { ConfigurationState } from '../state/configurationState.js';
import type { ConfigurationRecord } from './configurationRecord.js';
import { configurationRecordSchema } from './configurationRecordSchema.js';
import type { ConfigurationVerdict } from './configurationVerdict.js';

const MAX_RECENT_PUBLICATIONS = 64;

interface FoldResult {
  readonly state: ConfigurationState;
  readonly verdict: ConfigurationVerdict;
}

type OperatorRecord = Exclude<ConfigurationRecord, { readonly type: 'checkpoint' }>;

const findDuplicateOrStaleBase = (
  state: ConfigurationState,
  record: OperatorRecord,
): ConfigurationVerdict | undefined => {
  if (state.recentPublications.includes(record.publicationId)) {
    return { type: 'repeated', publicationId: record.publicationId };
  }
  if (record.base !== state.version) {
    return { type: 'staleBase', base: record.base, currentVersion: state.version };
  }
  return undefined;
};

const getPresetNames = (state: ConfigurationState): readonly string[] =>
  state.document?.presets.map(({ name }) => name) ?? [];

const findUnmetPrecondition = (
  state: ConfigurationState,
  record: OperatorRecord,
): ConfigurationVerdict | undefined => {
  if (record.type === 'publish') {
    const preset = state.presetInForce;
    const hasPresetInForce =
      preset === undefined || record.document.presets.some(({ name }) => name === preset);
    return hasPresetInForce ? undefined : { type: 'presetInForceMissing', preset };
  }
  if (state.document === undefined) {
    return { type: 'noDocument' };
  }
  if (record.type === 'usePreset' && !getPresetNames(state).includes(record.preset)) {
    return {
      type: 'unknownPreset',
      preset: record.preset,
      knownPresets: getPresetNames(state),
    };
  }
  return undefined;
};

const applyRecord = (
  state: ConfigurationState,
  record: OperatorRecord,
): Partial<ConfigurationState> => {
  switch (record.type) {
    case 'publish':
      return {
        document: record.document,
        presetInForce: state.presetInForce ?? record.document.initialPreset,
      };
    case 'usePreset':
      return { presetInForce: record.preset };
    case 'drainHost':
      return { drainedHosts: [...new Set([...state.drainedHosts, record.host])] };
    case 'restoreHost':
      return { drainedHosts: state.drainedHosts.filter((host) => host !== record.host) };
    default:
      return assertNever(record);
  }
};

const acceptRecord = (
  state: ConfigurationState,
  offset: number,
  record: OperatorRecord,
): FoldResult => ({
  state: {
    ...state,
    ...applyRecord(state, record),
    version: offset,
    recentPublications: [...state.recentPublications, record.publicationId].slice(
      -MAX_RECENT_PUBLICATIONS,
    ),
  },
  verdict: { type: 'accepted', version: offset },
});

/**
 * Validates a record read from the log and applies it to the configuration state. The state must include all accepted
 * records before the offset; `foldConfigurationPage` ensures this.
 */
export const foldConfigurationRecord = (
  state: ConfigurationState,
  { offset, record }: { readonly offset: number; readonly record: unknown },
): FoldResult =>
  checkDocument(configurationRecordSchema, record).caseOf<FoldResult>({
    Left: (faults) => ({ state, verdict: { type: 'invalidRecord', faults } }),
    Right: (validRecord) => {
      if (validRecord.type === 'checkpoint') {
        return { state, verdict: { type: 'checkpointRead', version: validRecord.state.version } };
      }
      const rejection =
        findDuplicateOrStaleBase(state, validRecord) ?? findUnmetPrecondition(state, validRecord);
      return rejection === undefined
        ? acceptRecord(state, offset, validRecord)
        : { state, verdict: rejection };
    },
  });
