import { Map, Set } from 'immutable';
import type { RoutingState } from '../routingState.js';

/** The versions of the listed targets, by service. */
export const getListedVersions = ({
  targets,
}: RoutingState): Map<string, Set<string | undefined>> => {
  let versions = Map<string, Set<string | undefined>>();
  for (const { listed } of targets.values()) {
    const { service, version } = listed;
    versions = versions.set(service, (versions.get(service) ?? Set()).add(version));
  }
  return versions;
};
