import type { ConfigurationRecord } from '@parsleyhall/configuration';
import type { History } from '../world/history.js';
import type { AcceptedChange } from './acceptedChange.js';

const NOTHING: AcceptedChange = {
  version: 0,
  atMs: 0,
  publicationId: '',
  presetInForce: '',
  drainedHosts: [],
};

const applyChange = (before: AcceptedChange, record: ConfigurationRecord): AcceptedChange => {
  switch (record.type) {
    case 'publish':
      return { ...before, presetInForce: before.presetInForce || record.document.initialPreset };
    case 'usePreset':
      return { ...before, presetInForce: record.preset };
    case 'drainHost':
      return { ...before, drainedHosts: [...before.drainedHosts, record.host] };
    case 'restoreHost':
      return {
        ...before,
        drainedHosts: before.drainedHosts.filter((host) => host !== record.host),
      };
    case 'checkpoint':
      return before;
  }
};

/** Which records won, by the one rule: the first record in the log that is based on the current version. */
export const getAcceptedChanges = ({ configurationRecords }: History): readonly AcceptedChange[] =>
  configurationRecords.reduce<readonly AcceptedChange[]>((accepted, logged) => {
    const record = logged.value as ConfigurationRecord;
    const before = accepted.at(-1) ?? NOTHING;
    if (record.type === 'checkpoint' || record.base !== before.version) {
      return accepted;
    }
    const next: AcceptedChange = {
      ...applyChange(before, record),
      version: logged.offset,
      atMs: logged.appendedAtMs,
      publicationId: record.publicationId,
    };
    return [...accepted, next];
  }, []);
