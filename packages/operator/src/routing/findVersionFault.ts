import type { RoutingDocument } from '@parsleyhall/daemon';
import type { RoutingFinding } from './routingFinding.js';

/** Finds a version that is not higher than that of the document in force, with which a document takes no effect. */
export const findVersionFault = (
  { version }: RoutingDocument,
  against: RoutingDocument | undefined,
): readonly RoutingFinding[] =>
  against === undefined || version > against.version
    ? []
    : [
        {
          severity: 'error',
          rule: 'versionNotNewer',
          path: 'version',
          detail: `version ${version} takes no effect, since it is not higher than ${against.version} in force`,
        },
      ];
