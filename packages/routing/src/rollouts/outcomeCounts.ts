/** Responses of the old and the new targets of a service, and how many of them were failures or slow. */
export interface OutcomeCounts {
  readonly oldResponses: number;
  readonly oldBad: number;
  readonly newResponses: number;
  readonly newBad: number;
}
