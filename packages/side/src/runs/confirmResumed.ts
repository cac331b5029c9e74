import type { SideToEntryMessage } from '@parsleyhall/protocol';
import type { Run } from './run.js';

/** The fate to tell before the first part of an answer that the target was asked to resume. */
export const confirmResumed = (run: Run): readonly SideToEntryMessage[] =>
  run.phase === 'resuming'
    ? [{ type: 'fate', grantId: run.grantId, requestId: run.requestId, fate: 'running' }]
    : [];
