import type { ServerResponse } from 'node:http';
import type { RequestId, Tier } from '@parsleyhall/common';
import type { ArrivedRequest, FinalFailure } from '@parsleyhall/entry';

/** The callers that have not received a complete response yet. */
export interface CallerRegistry {
  readonly register: (
    request: ArrivedRequest,
    arrivedAtMs: number,
    response: ServerResponse,
  ) => void;
  readonly sendHead: (
    requestId: RequestId,
    status: number,
    headers: Readonly<Record<string, string>>,
  ) => void;
  readonly sendBytes: (requestId: RequestId, bytes: Uint8Array) => void;
  readonly end: (requestId: RequestId) => void;
  readonly fail: (requestId: RequestId, failure: FinalFailure) => void;
  /** Records how many prompt tokens the target computed for a request. */
  readonly recordPrefillTokens: (requestId: RequestId, prefillTokens: number) => void;
  /** Records that a request was sent to a side process. */
  readonly markSentToSide: (requestId: RequestId) => void;
  readonly countByTier: (isSentToSide: boolean) => readonly [number, number, number, number];
  readonly getTier: (requestId: RequestId) => Tier | undefined;
  readonly size: () => number;
}
