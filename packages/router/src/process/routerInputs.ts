import type { Confirmation, ListedTarget, RoutingConfiguration } from '@parsleyhall/routing';

/** Takes what a platform tells. */
export interface RouterInputs {
  readonly takeConfiguration: (configuration: RoutingConfiguration) => void;
  /** The platform held nothing newer than the latest configuration at that moment. */
  readonly takeConfirmation: (confirmed: Confirmation) => void;
  readonly takeTargets: (targets: readonly ListedTarget[]) => void;
  readonly takePeerAddresses: (addresses: readonly string[]) => void;
}
