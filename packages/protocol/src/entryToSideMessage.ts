import type { EntryId, GrantId, Incarnation, RequestId } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { Reservation } from './reservation.js';
import type { TargetCall } from './targetCall.js';

/** Messages from an entry to a side process on their one stream. */
export type EntryToSideMessage =
  | {
      readonly type: 'hello';
      readonly entry: EntryId;
      readonly incarnation: Incarnation;
      readonly configurationVersion: number;
    }
  | { readonly type: 'reserve'; readonly reservation: Reservation }
  /** Takes a reservation back; harmless when a grant for it is under way, which is then answered `gone`. */
  | { readonly type: 'withdraw'; readonly requestId: RequestId }
  /** Uses a grant, once, with the request's call. */
  | {
      readonly type: 'give';
      readonly grantId: GrantId;
      readonly requestId: RequestId;
      readonly call: TargetCall;
      /** Time left until the deadline when sent, in milliseconds. */
      readonly deadlineLeftMs: number;
    }
  /** Declines a grant: the request was bound elsewhere or has ended. */
  | { readonly type: 'gone'; readonly grantId: GrantId; readonly requestId: RequestId }
  /** The caller hung up: running work may be cancelled. */
  | { readonly type: 'cancel'; readonly grantId: GrantId; readonly requestId: RequestId }
  /** Asks what became of a grant after a broken stream; the answer stream goes on from the byte named. */
  | {
      readonly type: 'askFate';
      readonly grantId: GrantId;
      readonly requestId: RequestId;
      readonly fromByte: number;
    }
  /** The entry has the whole answer: what the side process kept of it may go. */
  | { readonly type: 'acknowledgeEnd'; readonly grantId: GrantId; readonly requestId: RequestId }
  | { readonly type: 'heartbeat'; readonly configurationVersion: number }
  /** A configuration for a peer that is behind. */
  | { readonly type: 'configuration'; readonly configuration: ConfigurationState };
