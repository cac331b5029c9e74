import type { createCallerRegistry } from '../callers/createCallerRegistry.js';
import type { createFaultNotes } from '../process/createFaultNotes.js';
import type { EntrySettingsFile } from '../settings/entrySettingsFile.js';
import { createSideLinks } from './createSideLinks.js';
import type { EntryEventBody } from './entryEventBody.js';

/** The streams of an entry to its side processes; all that happens on them becomes events. */
export const newEntryLinks = ({
  file,
  callers,
  notes,
  dispatch,
}: {
  readonly file: EntrySettingsFile;
  readonly callers: ReturnType<typeof createCallerRegistry>;
  readonly notes: ReturnType<typeof createFaultNotes>;
  readonly dispatch: (body: EntryEventBody) => void;
}): ReturnType<typeof createSideLinks> =>
  createSideLinks({
    maximumBodyBytes: file.maximumBodyBytes,
    getRandom: Math.random,
    onConnected: (side) => {
      dispatch({ type: 'sideConnected', side });
    },
    onMessage: (side, message) => {
      if (message.type === 'answerEnd') {
        callers.notePrefill(message.requestId, message.prefillTokens);
      }
      dispatch({ type: 'sideMessage', side, message });
    },
    onDisconnected: (side) => {
      dispatch({ type: 'sideDisconnected', side });
    },
    onMalformed: (side, fault) => {
      notes.noteMalformed(fault, side);
    },
  });
