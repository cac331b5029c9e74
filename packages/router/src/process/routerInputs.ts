import type {
  ClockReading,
  ListedTarget,
  RecentQuotas,
  RolloutOrder,
  RolloutStatus,
  RoutingConfiguration,
  SharedQuarantine,
  StoreRevision,
} from '@parsleyhall/routing';

/** Functions through which the platform passes its state to the router. */
export interface RouterInputs {
  readonly handleConfiguration: (configuration: RoutingConfiguration) => void;
  /**
   * Reports that the platform held nothing newer than the latest configuration at that moment; `version` is the newest one
   * on a platform that all entries share, and left out if each entry has its own source.
   */
  readonly handleConfigurationConfirmed: (confirmed: ClockReading, version?: number) => void;
  readonly handleTargets: (targets: readonly ListedTarget[]) => void;
  /** Reports that the latest list of targets is still the newest on the platform. */
  readonly handleTargetsConfirmed: () => void;
  /** Passes the quota usage in the window before this start. */
  readonly handleRestoredQuotas: (taken: RecentQuotas) => void;
  /** Passes the stored quarantines of prompt parts, and again when they change. */
  readonly handleQuarantines: (quarantines: readonly SharedQuarantine[]) => void;
  /** Passes the newest orders of roll-outs; a snapshot may hold orders that were carried out long ago. */
  readonly handleRolloutOrders: (orders: readonly RolloutOrder[], isSnapshot: boolean) => void;
  /** Passes status records of roll-outs; a snapshot has those of all services. */
  readonly handleRolloutStatuses: (statuses: readonly RolloutStatus[], isSnapshot: boolean) => void;
  /** Reports that the platform held no status records after the revision at that moment. */
  readonly handleRolloutStatusesConfirmed: (
    confirmedAt: ClockReading,
    revision: StoreRevision,
  ) => void;
  readonly handlePeerAddresses: (addresses: readonly string[]) => void;
  /**
   * Counts what goes wrong in the reading of a topic of the store, for the metrics: a record that describes nothing usable,
   * one that was dropped because of an unexpected error, and a topic that is read again as a whole after one.
   */
  readonly countStoreFault: (
    kind: 'recordUnusable' | 'recordDropped' | 'followerRestarted',
    topic: string,
  ) => void;
  /** Counts bytes of calls to the platform's store, for the metrics. */
  readonly countStoreBytes: (direction: 'sent' | 'received', bytes: number) => void;
}
