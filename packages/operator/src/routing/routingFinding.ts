/** A part of a routing document that is valid by itself but does not work together with the rest. */
export interface RoutingFinding {
  /** An error makes requests fail; a warning may be intended. */
  readonly severity: 'error' | 'warning';
  readonly rule:
    | 'versionNotNewer'
    | 'sameName'
    | 'shadowedRoute'
    | 'noTargets'
    | 'unusedService'
    | 'unknownService'
    | 'teamWithoutKey'
    | 'sharedKey'
    | 'objectiveOverTimeout'
    | 'silenceOverTimeout'
    | 'attemptsOverTargets';
  /** The entry of the document, such as `routes.2`. */
  readonly path: string;
  readonly detail: string;
}
