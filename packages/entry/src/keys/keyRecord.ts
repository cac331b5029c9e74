/** A record of a partition of idempotency keys in the log. */
export type KeyRecord =
  /** Claims the key for an attempt; the first claim in log order without a `notRun` owns it. */
  | {
      readonly type: 'start';
      readonly key: string;
      readonly attempt: string;
      /** Fingerprint of the method, path, team and body, so that one key cannot serve two requests. */
      readonly requestFingerprint: string;
    }
  /** The attempt did not run and will not: the key is free again. */
  | { readonly type: 'notRun'; readonly key: string; readonly attempt: string }
  /** Nobody can tell whether the attempt ran; the key stays taken until an operator settles it. */
  | { readonly type: 'unknown'; readonly key: string; readonly attempt: string }
  /** The attempt ran to its end with this answer. */
  | {
      readonly type: 'done';
      readonly key: string;
      readonly attempt: string;
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      /** The answer's body in base64; absent when it was over the size that is kept. */
      readonly body?: string | undefined;
    };
