import { assertNever } from '@parsleyhall/common';
import { checkDocument } from '../check/checkDocument.js';
import type { ConfigurationState } from '../state/configurationState.js';
import type { ConfigurationRecord } from './configurationRecord.js';
import { configurationRecordSchema } from './configurationRecordSchema.js';
import type { ConfigurationVerdict } from './configurationVerdict.js';

const REMEMBERED_PUBLICATIONS = 64;

interface FoldedRecord {
  readonly state: ConfigurationState;
  readonly verdict: ConfigurationVerdict;
}

type OperatorRecord = Exclude<ConfigurationRecord, { readonly type: 'checkpoint' }>;

const findRefusal = (
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

const findUnfitness = (
  state: ConfigurationState,
  record: OperatorRecord,
): ConfigurationVerdict | undefined => {
  if (record.type === 'publish') {
    const preset = state.presetInForce;
    const isKept =
      preset === undefined || record.document.presets.some(({ name }) => name === preset);
    return isKept ? undefined : { type: 'presetInForceMissing', preset };
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
): FoldedRecord => ({
  state: {
    ...state,
    ...applyRecord(state, record),
    version: offset,
    recentPublications: [...state.recentPublications, record.publicationId].slice(
      -REMEMBERED_PUBLICATIONS,
    ),
  },
  verdict: { type: 'accepted', version: offset },
});

/**
 * Folds one record, as read from the log, into the configuration. The state must hold all accepted records before the
 * offset; `readConfigurationPage` sees to that.
 */
export const foldConfigurationRecord = (
  state: ConfigurationState,
  { offset, record }: { readonly offset: number; readonly record: unknown },
): FoldedRecord =>
  checkDocument(configurationRecordSchema, record).caseOf<FoldedRecord>({
    Left: (faults) => ({ state, verdict: { type: 'invalidRecord', faults } }),
    Right: (checked) => {
      if (checked.type === 'checkpoint') {
        return { state, verdict: { type: 'checkpointRead', version: checked.state.version } };
      }
      const refusal = findRefusal(state, checked) ?? findUnfitness(state, checked);
      return refusal === undefined
        ? acceptRecord(state, offset, checked)
        : { state, verdict: refusal };
    },
  });
