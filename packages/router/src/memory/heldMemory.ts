/** What one connection holds, as far as the choice of connections to close depends on it. */
export interface HeldMemory {
  /** Whether a request of the connection has been passed to the scheduler. */
  readonly isServing: boolean;
  /** Bytes that are held until the caller sends or reads more. */
  readonly callerBytes: number;
  /** Bytes that are held for a request that is being served. */
  readonly servingBytes: number;
  /** Time since the caller last sent or read a part of this, in milliseconds. */
  readonly callerAgeMs: number;
  /** Time since the connection began to hold bytes for its request that is being served, in milliseconds. */
  readonly servingAgeMs: number;
}
