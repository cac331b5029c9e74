import type { ConfigurationState } from '@parsleyhall/configuration';

/** Follows the configuration stream in the log. */
export interface ConfigurationFollower extends AsyncDisposable {
  /** Accepts a configuration from a peer if it is newer. */
  readonly adopt: (configuration: ConfigurationState) => void;
}
