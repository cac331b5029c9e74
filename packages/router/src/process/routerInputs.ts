import type {
  Confirmation,
  ListedTarget,
  RecentQuotas,
  RoutingConfiguration,
} from '@parsleyhall/routing';

/** Functions through which the platform passes its state to the router. */
export interface RouterInputs {
  readonly takeConfiguration: (configuration: RoutingConfiguration) => void;
  /** Reports that the latest configuration was still the newest on the platform at that moment. */
  readonly takeConfirmation: (confirmed: Confirmation) => void;
  readonly takeTargets: (targets: readonly ListedTarget[]) => void;
  /** Reports that the latest list of targets is still the newest on the platform. */
  readonly takeTargetsConfirmation: () => void;
  /** Passes the quota usage in the window before this start. */
  readonly takeRecalledQuotas: (taken: RecentQuotas) => void;
  readonly takePeerAddresses: (addresses: readonly string[]) => void;
}
