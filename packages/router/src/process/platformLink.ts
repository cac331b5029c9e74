import type {
  RecentQuotas,
  RolloutStatus,
  SharedQuarantine,
  StoreRevision,
} from '@parsleyhall/routing';
import type { RouterInputs } from './routerInputs.js';

/** The interface between a router and the platform that it runs on. */
export interface PlatformLink extends AsyncDisposable {
  /** Starts to follow changes of the configuration, the targets and the other entries. */
  readonly follow: (inputs: RouterInputs) => void;
  /** Checks at once whether the configuration is still the newest. */
  readonly confirmConfiguration: () => void;
  /** Stores the quota usage for entries that start later; a failure is only logged. */
  readonly persistQuotaUsage: (taken: RecentQuotas) => void;
  /** Stores the quarantines of prompt parts for all entries; a failure is only logged. */
  readonly persistQuarantines: (quarantines: readonly SharedQuarantine[]) => void;
  /** Writes the status record of a roll-out if the store holds no record after the revision; a failure is only logged. */
  readonly writeRolloutStatus: (status: RolloutStatus, revision: StoreRevision) => void;
}
