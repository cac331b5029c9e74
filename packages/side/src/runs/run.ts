import type { List } from 'immutable';
import type { EntryId, GrantId, Incarnation, RequestId } from '@parsleyhall/common';
import type { Work } from '../queue/work.js';
import type { AnswerChunk } from './answerChunk.js';

/** A request that was called on the target, or taken up again there, with what is kept of its answer. */
export interface Run {
  readonly grantId: GrantId;
  readonly requestId: RequestId;
  readonly work: Work;
  readonly entry: EntryId;
  readonly entryIncarnation: Incarnation | undefined;
  /** Connection of the entry that the answer is relayed on; undefined while it is only kept. */
  readonly relayConnection: number | undefined;
  readonly isStreaming: boolean;
  /** Resuming until the target has said that it knows the request. */
  readonly phase: 'resuming' | 'running' | 'done' | 'failed' | 'cancelled';
  readonly startedAtMs: number;
  /** Prefill tokens of others whose first token was outstanding at the start. */
  readonly prefillTokensAhead: number;
  /** Predicted durations at the start, in milliseconds. */
  readonly predictedFirstTokenMs: number;
  readonly predictedFinishMs: number;
  readonly head:
    { readonly status: number; readonly headers: Readonly<Record<string, string>> } | undefined;
  readonly chunks: List<AnswerChunk>;
  /** Place of the first byte that is kept. */
  readonly keptFrom: number;
  /** Place after the last byte that came. */
  readonly nextOffset: number;
  readonly tokens: number;
  /** True once the prefill is no longer ahead of other work, seen or assumed. */
  readonly isPrefilled: boolean;
  readonly lastTokenAtMs: number | undefined;
  /** When an ended run is forgotten at the latest; undefined while it is active. */
  readonly keptUntilMs: number | undefined;
  readonly usage: { readonly prefillTokens: number; readonly decodeTokens: number } | undefined;
  readonly failure: 'notRun' | 'unknown' | undefined;
}
