import type { SideToEntryMessage } from '@parsleyhall/protocol';
import type { AnswerChunk } from './answerChunk.js';
import type { Run } from './run.js';

const cutChunk = (chunk: AnswerChunk, fromByte: number): AnswerChunk =>
  chunk.offset >= fromByte
    ? chunk
    : { offset: fromByte, bytes: chunk.bytes.subarray(fromByte - chunk.offset) };

const getEndMessages = (run: Run): readonly SideToEntryMessage[] => {
  const { grantId, requestId, usage, failure } = run;
  if (failure !== undefined) {
    return [{ type: 'answerFailed', grantId, requestId, outcome: failure }];
  }
  return usage === undefined
    ? []
    : [{ type: 'answerEnd', grantId, requestId, totalBytes: run.nextOffset, ...usage }];
};

/** The messages that carry what is known of a run's answer from a byte on. */
export const relayMessages = (run: Run, fromByte: number): readonly SideToEntryMessage[] => {
  const { grantId, requestId } = run;
  const head: readonly SideToEntryMessage[] =
    run.head === undefined ? [] : [{ type: 'answerHead', grantId, requestId, ...run.head }];
  const chunks = run.chunks
    .filter(({ offset, bytes }) => offset + bytes.length > fromByte)
    .map((chunk) => cutChunk(chunk, fromByte))
    .toArray();
  return [
    ...head,
    ...chunks.map((chunk) => ({ type: 'answerBytes' as const, grantId, requestId, ...chunk })),
    ...getEndMessages(run),
  ];
};
