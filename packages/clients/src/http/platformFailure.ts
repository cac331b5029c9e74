/** Why a call to one of the platform's services gave no result; `detail` is the cause as the library words it. */
export type PlatformFailure =
  /** The service refused or could not be reached: the call took no effect. */
  | { readonly type: 'unavailable'; readonly detail: string }
  /** The caller is over the service's rate: the call took no effect. */
  | { readonly type: 'rateLimited'; readonly retryAfterMs: number }
  /** The answer was lost; the call may have taken effect. */
  | { readonly type: 'outcomeUnknown'; readonly detail: string }
  /** The service answered something outside its protocol. */
  | { readonly type: 'malformed'; readonly detail: string }
  | { readonly type: 'aborted' };
