import { createEntryReducer } from '@parsleyhall/entry';
import type { EntryEffect, EntryEvent, EntryState } from '@parsleyhall/entry';
import { startEntry } from '../../src/entryProcess/startEntry.js';
import { createProcessLogger } from '../../src/process/createProcessLogger.js';
import type { RunningProcess } from '../../src/process/runningProcess.js';
import { checkSettings } from '../../src/settings/checkSettings.js';
import { entrySettingsFileSchema } from '../../src/settings/entrySettingsFileSchema.js';

/**
 * Starts an entry in this process. For an event for which `script` returns effects, these are run and the real reducer
 * is not called.
 */
export const startScriptedEntry = async (
  settings: object,
  script: (event: EntryEvent) => readonly EntryEffect[] | undefined,
): Promise<RunningProcess> => {
  const text = JSON.stringify({ ...settings, logLevel: 'fatal' });
  const file = checkSettings(entrySettingsFileSchema, text).unsafeCoerce();
  return startEntry({
    file,
    logger: createProcessLogger(file),
    createReducer: (entrySettings) => {
      const realReducer = createEntryReducer(entrySettings);
      const reduce = (state: EntryState, event: EntryEvent) => {
        const scripted = script(event);
        return scripted === undefined
          ? realReducer.reduce(state, event)
          : { state, effects: scripted };
      };
      return { initialState: realReducer.initialState, reduce };
    },
  });
};
