import type { Route } from './route.js';
import type { RoutingIndex } from './routingIndex.js';

const PORT = /:\d+$/;

/** The route of the host with the longest prefix of the path; undefined where none fits. */
export const findRoute = (index: RoutingIndex, host: string, path: string): Route | undefined => {
  const name = host.toLowerCase();
  const routes = index.routesByHost.get(name) ?? index.routesByHost.get(name.replace(PORT, ''));
  return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
};
