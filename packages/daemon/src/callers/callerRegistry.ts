import type { ServerResponse } from 'node:http';
import type { RequestId, Tier } from '@parsleyhall/common';
import type { ArrivedRequest, FinalFailure } from '@parsleyhall/entry';

/** The callers whose requests have no final answer yet. */
export interface CallerRegistry {
  readonly open: (request: ArrivedRequest, arrivedAtMs: number, response: ServerResponse) => void;
  readonly sendHead: (
    requestId: RequestId,
    status: number,
    headers: Readonly<Record<string, string>>,
  ) => void;
  readonly sendBytes: (requestId: RequestId, bytes: Uint8Array) => void;
  readonly end: (requestId: RequestId) => void;
  readonly fail: (requestId: RequestId, failure: FinalFailure) => void;
  /** Notes what the target computed for a request. */
  readonly notePrefill: (requestId: RequestId, prefillTokens: number) => void;
  /** Notes that a request was given to a side process. */
  readonly noteGiven: (requestId: RequestId) => void;
  readonly countByTier: (isGiven: boolean) => readonly [number, number, number, number];
  readonly getTier: (requestId: RequestId) => Tier | undefined;
  readonly size: () => number;
}
