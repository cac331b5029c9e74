import type { Incarnation, PoolName, RequestId, SideId, Tier } from '@parsleyhall/common';
import type { ConfigurationState } from '@parsleyhall/configuration';
import type { FinalFailure } from '@parsleyhall/entry';

/** One fact that an onlooker outside the system's processes can see. */
type Fact = { readonly atMs: number } & (
  | {
      readonly type: 'requestArrived';
      readonly requestId: RequestId;
      readonly operation: string;
      readonly entry: string;
      readonly pool: PoolName;
      readonly tier: Tier;
      readonly chunks: number;
      /** Until when the request should have its answer, in virtual time. */
      readonly deadlineAtMs: number;
      readonly idempotencyKey: string | undefined;
    }
  | { readonly type: 'callerHungUp'; readonly requestId: RequestId }
  | { readonly type: 'answerHead'; readonly requestId: RequestId; readonly status: number }
  | { readonly type: 'answerBytes'; readonly requestId: RequestId; readonly text: string }
  | { readonly type: 'answerEnd'; readonly requestId: RequestId }
  | {
      readonly type: 'answerFailure';
      readonly requestId: RequestId;
      readonly failure: FinalFailure;
    }
  | {
      readonly type: 'runStarted';
      readonly requestId: RequestId;
      readonly operation: string;
      readonly idempotencyKey: string | undefined;
      readonly side: SideId;
      readonly incarnation: Incarnation;
    }
  | {
      readonly type: 'runEnded';
      readonly requestId: RequestId;
      readonly side: SideId;
      readonly outcome: 'whole' | 'cancelled' | 'lost';
    }
  | {
      readonly type: 'configurationInForce';
      readonly process: string;
      readonly incarnation: Incarnation;
      readonly configuration: ConfigurationState;
    }
  | {
      readonly type: 'operatorTold';
      readonly publicationId: string;
      readonly isAccepted: boolean;
    }
  | { readonly type: 'processStarted' | 'processKilled'; readonly process: string }
  | { readonly type: 'stopRequested'; readonly process: string }
  | { readonly type: 'processStopped'; readonly process: string }
  | { readonly type: 'hostListed'; readonly side: SideId; readonly isLeaving: boolean }
  | { readonly type: 'processPaused'; readonly process: string; readonly untilMs: number }
);

/** What happened in one run: the facts in order, and the log's records of the configuration. */
export interface History {
  readonly facts: readonly Fact[];
  readonly configurationRecords: readonly {
    readonly offset: number;
    readonly appendedAtMs: number;
    readonly value: unknown;
  }[];
  readonly endedAtMs: number;
}
