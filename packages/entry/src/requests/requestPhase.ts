import type { GrantId, SideId } from '@parsleyhall/common';
import type { HandBackReason } from '@parsleyhall/protocol';

/** Where a request stands: before its claim is read back, beside another's run, waiting, bound, or being settled. */
export type RequestPhase =
  | { readonly type: 'claiming' }
  | { readonly type: 'joining' }
  | {
      readonly type: 'waiting';
      readonly reservedAt: readonly SideId[];
      /** Side processes to reserve at next, once `widenAtMs` has come without a grant. */
      readonly laterAt: readonly SideId[];
      readonly widenAtMs: number;
      /** When a request without any reservation is given up, in milliseconds. */
      readonly patienceEndsAtMs: number;
      readonly handBacks: readonly {
        readonly side: SideId;
        readonly reason: HandBackReason;
        readonly retryAfterMs: number;
      }[];
    }
  | {
      readonly type: 'given';
      readonly side: SideId;
      readonly grantId: GrantId;
      readonly isAccepted: boolean;
    }
  /** The stream to the side process broke after the give; what became of it is being asked. */
  | {
      readonly type: 'settling';
      readonly side: SideId;
      readonly grantId: GrantId;
      readonly isAccepted: boolean;
    };
