import type { Route } from './route.js';
import type { RoutingIndex } from './routingIndex.js';

const PORT_SUFFIX = /:\d+$/;

/** The host's route with the longest matching path prefix; undefined if none matches. */
export const findRoute = (index: RoutingIndex, host: string, path: string): Route | undefined => {
  const hostName = host.toLowerCase();
  const routes =
    index.routesByHost.get(hostName) ?? index.routesByHost.get(hostName.replace(PORT_SUFFIX, ''));
  return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
};
