import type {
  ClockReading,
  ListedTarget,
  RecentQuotas,
  RoutingConfiguration,
} from '@parsleyhall/routing';

/** Functions through which the platform passes its state to the router. */
export interface RouterInputs {
  readonly handleConfiguration: (configuration: RoutingConfiguration) => void;
  /** Reports that the latest configuration was still the newest on the platform at that moment. */
  readonly handleConfigurationConfirmed: (confirmed: ClockReading) => void;
  readonly handleTargets: (targets: readonly ListedTarget[]) => void;
  /** Reports that the latest list of targets is still the newest on the platform. */
  readonly handleTargetsConfirmed: () => void;
  /** Passes the quota usage in the window before this start. */
  readonly handleRestoredQuotas: (taken: RecentQuotas) => void;
  readonly handlePeerAddresses: (addresses: readonly string[]) => void;
}
