import type { ConfigurationState } from '@parsleyhall/configuration';
import type { ArrivedRequest } from '../arrivedRequest.js';
import type { EntrySettings } from '../entrySettings.js';
import type { KeyState } from '../keys/keyState.js';
import type { TrackedRequest } from '../requests/trackedRequest.js';
import type { Placement } from './placement.js';
import type { PlacementView } from './placementView.js';

/** The guards and policies of an entry, each the one place that decides its question. */
export interface EntryDecisions {
  /** Chooses the side processes to reserve at. */
  readonly choosePlacement: (view: PlacementView) => Placement;
  /** True when the offered configuration goes before the current one. */
  readonly acceptsConfiguration: (
    current: ConfigurationState,
    offered: ConfigurationState,
  ) => boolean;
  /** True when the attempt owns its key and may run. */
  readonly ownsKey: (state: KeyState | undefined, attempt: string) => boolean;
  /** True when a claim must be read back from the log before the request may run. */
  readonly mustReadBackClaim: (request: ArrivedRequest) => boolean;
  /** Says what is wrong with a key's age, if anything. */
  readonly checkKeyAge: (check: {
    readonly settings: EntrySettings;
    readonly key: string;
    readonly wallMs: number;
    readonly trustedFromMs: number;
  }) => 'tooOld' | 'malformed' | undefined;
  /** What to think of a grant whose stream broke after the give. */
  readonly settleBrokenGive: (tracked: TrackedRequest) => 'ask' | 'notRun' | 'placeAgain';
  /** What to think of a grant that neither the side process nor its target knows. */
  readonly settleUnknownFate: (
    tracked: TrackedRequest,
  ) => 'outcomeUnknown' | 'notRun' | 'placeAgain';
  /** True when a message about a grant belongs to the request's own grant. */
  readonly isOwnGrant: (tracked: TrackedRequest, grantId: string) => boolean;
  /** True when a request that has been offered a grant may still use it. */
  readonly mayGive: (tracked: TrackedRequest) => boolean;
  /** Byte from which a broken answer is taken up again. */
  readonly getResumeByte: (tracked: TrackedRequest) => number;
  /** True when the answer received is the whole one. */
  readonly isWholeAnswer: (bytesReceived: number, totalBytes: number) => boolean;
  /** True when a lower tier has to be given up before this request is. */
  readonly shedsLowerTierFirst: (request: ArrivedRequest) => boolean;
  /** True when a lower tier that waits at another entry has to be given up before this request is. */
  readonly shedsLowerTierElsewhereFirst: (request: ArrivedRequest) => boolean;
  /** True when a request's due time has come: it is tried again or gets its final answer. */
  readonly isDue: (dueAtMs: number, nowMs: number) => boolean;
  /** True when a stopping entry has nothing left to finish. */
  readonly mayStop: (unfinishedRequests: number) => boolean;
}
