import { createEntryReducer } from '@parsleyhall/entry';
import type { EntryEffect, EntryEvent, EntryState } from '@parsleyhall/entry';
import { startEntry } from '../../src/entryShell/startEntry.js';
import { createProcessLogger } from '../../src/process/createProcessLogger.js';
import type { RunningProcess } from '../../src/process/runningProcess.js';
import { checkSettings } from '../../src/settings/checkSettings.js';
import { entrySettingsFileSchema } from '../../src/settings/entrySettingsFileSchema.js';

/** Starts an entry's shell in this process whose reducer hands what `script` answers to an event on in place of its own effects. */
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
      const real = createEntryReducer(entrySettings);
      const reduce = (state: EntryState, event: EntryEvent) => {
        const scripted = script(event);
        return scripted === undefined ? real.reduce(state, event) : { state, effects: scripted };
      };
      return { initialState: real.initialState, reduce };
    },
  });
};
