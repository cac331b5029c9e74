import type { GrantId, RequestId } from '@parsleyhall/common';
import type { TargetCall } from '@parsleyhall/protocol';

/** The one path to the target; what it answers comes as events. */
export interface TargetClient extends AsyncDisposable {
  /** Makes a call, once. */
  readonly call: (grantId: GrantId, requestId: RequestId, call: TargetCall) => void;
  /** Takes up the answer to a call that was made before, from a byte on. */
  readonly resume: (grantId: GrantId, requestId: RequestId, fromByte: number) => void;
  readonly cancel: (grantId: GrantId, requestId: RequestId) => void;
}
