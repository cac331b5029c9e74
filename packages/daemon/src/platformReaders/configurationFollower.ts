import type { ConfigurationState } from '@parsleyhall/configuration';

/** Follows the configuration in the log. */
export interface ConfigurationFollower extends AsyncDisposable {
  /** Takes a configuration that a peer sent, when it is newer. */
  readonly adopt: (configuration: ConfigurationState) => void;
}
