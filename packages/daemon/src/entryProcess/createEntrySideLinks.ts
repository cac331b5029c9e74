import type { createCallerRegistry } from '../callers/createCallerRegistry.js';
import type { createDiagnostics } from '../process/createDiagnostics.js';
import type { EntrySettingsFile } from '../settings/entrySettingsFile.js';
import { createSideLinks } from './createSideLinks.js';
import type { EntryEventBody } from './entryEventBody.js';

/** Creates the streams of an entry to its side processes; what happens on them becomes events of the reducer. */
export const createEntrySideLinks = ({
  file,
  callers,
  diagnostics,
  dispatch,
}: {
  readonly file: EntrySettingsFile;
  readonly callers: ReturnType<typeof createCallerRegistry>;
  readonly diagnostics: ReturnType<typeof createDiagnostics>;
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
        callers.recordPrefillTokens(message.requestId, message.prefillTokens);
      }
      dispatch({ type: 'sideMessage', side, message });
    },
    onDisconnected: (side) => {
      diagnostics.recordPeerDisconnected(side);
      dispatch({ type: 'sideDisconnected', side });
    },
    onMalformed: (side, fault) => {
      diagnostics.recordMalformedMessage(fault, side);
    },
  });
