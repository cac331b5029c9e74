import type { HostName, Incarnation, PoolName, SideId } from '@parsleyhall/common';

/** What a side process knows from its settings and its start. */
export interface SideSettings {
  readonly side: SideId;
  readonly incarnation: Incarnation;
  readonly host: HostName;
  readonly dataCentre: string;
  readonly pool: PoolName;
  readonly models: readonly string[];
  readonly kind: 'engine' | 'service';
  /** Size of the window before anything has been learned, in requests. */
  readonly initialWindowRequests: number;
  readonly maximumWindowRequests: number;
  /** Time within which a grant must be used, in milliseconds. */
  readonly grantLeaseMs: number;
  readonly heartbeatMs: number;
  /** Silence after which a peer's stream counts as broken, in milliseconds. */
  readonly peerTimeoutMs: number;
  /** Time that the answer of an unacknowledged run is kept, in milliseconds. */
  readonly answerRetentionMs: number;
  readonly maximumWaiting: number;
  /** Prefills from this many tokens on are long. */
  readonly longPrefillTokens: number;
}
