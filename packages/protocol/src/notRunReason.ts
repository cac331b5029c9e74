/**
 * Why a request was not run: given up under load (shed), its deadline passed or could not be met, the process or
 * target is leaving (draining), a limit of its team, or no target can serve it now.
 */
export type NotRunReason =
  | 'shed'
  | 'deadlineExceeded'
  | 'deadlineUnreachable'
  | 'draining'
  | 'teamLimit'
  | 'noTarget'
  | 'logUnavailable'
  | 'noConfiguration';
