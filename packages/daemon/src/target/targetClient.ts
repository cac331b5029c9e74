import type { GrantId, RequestId } from '@parsleyhall/common';
import type { TargetCall } from '@parsleyhall/protocol';

/** Makes all calls to the target; its responses arrive as events. */
export interface TargetClient extends AsyncDisposable {
  /** Makes a call, without retries. */
  readonly call: (grantId: GrantId, requestId: RequestId, call: TargetCall) => void;
  /** Continues to read the response to an earlier call from a byte offset. */
  readonly resume: (grantId: GrantId, requestId: RequestId, fromByte: number) => void;
  readonly cancel: (grantId: GrantId, requestId: RequestId) => void;
}
