import type { RecentQuotas } from '@parsleyhall/routing';
import type { RouterInputs } from './routerInputs.js';

/** What a router needs of the platform that it runs on. */
export interface PlatformLink extends AsyncDisposable {
  /** Starts to follow the configuration, the targets and the other entries. */
  readonly follow: (inputs: RouterInputs) => void;
  /** Asks at once whether the configuration is still the newest. */
  readonly confirmConfiguration: () => void;
  /** Keeps what was taken of the quotas, for an entry that starts later; a failure is only logged. */
  readonly rememberQuotas: (taken: RecentQuotas) => void;
}
