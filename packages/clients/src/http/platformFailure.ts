/** Why a call to one of the platform's services failed; `detail` describes the cause. */
export type PlatformFailure =
  /** The service is unavailable or could not be reached: the call had no effect. */
  | { readonly type: 'unavailable'; readonly detail: string }
  /** The service's rate limit was exceeded: the call had no effect. */
  | { readonly type: 'rateLimited'; readonly retryAfterMs: number }
  /** The response was lost; the call may have had an effect. */
  | { readonly type: 'outcomeUnknown'; readonly detail: string }
  /** The response does not follow the service's protocol. */
  | { readonly type: 'malformed'; readonly detail: string }
  /** The caller aborted the call. */
  | { readonly type: 'aborted' };
