/** Whether the process may end after a planned stop: nothing is granted, runs, is being cancelled or waits to be fetched. */
export const mayStop = ({
  outstandingGrants,
  activeRequests,
  keptAnswers,
}: {
  readonly outstandingGrants: number;
  readonly activeRequests: number;
  readonly keptAnswers: number;
}): boolean => outstandingGrants === 0 && activeRequests === 0 && keptAnswers === 0;
