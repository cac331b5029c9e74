/** A request's claim on its idempotency key. */
export interface KeyClaim {
  readonly key: string;
  readonly partition: number;
  readonly attempt: string;
  /** Number of attempts that this request has made. */
  readonly attempts: number;
  readonly requestFingerprint: string;
  /** Log offset of the start that owns the key; undefined until it is read back. */
  readonly offset: number | undefined;
}
