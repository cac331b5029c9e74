import type {
  Confirmation,
  ListedTarget,
  RecentQuotas,
  RoutingConfiguration,
} from '@parsleyhall/routing';

/** Takes what a platform tells. */
export interface RouterInputs {
  readonly takeConfiguration: (configuration: RoutingConfiguration) => void;
  /** The platform held nothing newer than the latest configuration at that moment. */
  readonly takeConfirmation: (confirmed: Confirmation) => void;
  readonly takeTargets: (targets: readonly ListedTarget[]) => void;
  /** The platform held no newer list of targets. */
  readonly takeTargetsConfirmation: () => void;
  /** What was taken of the quotas in the window before this start. */
  readonly takeRecalledQuotas: (taken: RecentQuotas) => void;
  readonly takePeerAddresses: (addresses: readonly string[]) => void;
}
