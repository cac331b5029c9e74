import { Set as ImmutableSet } from 'immutable';
import type { ListedHost } from '../listedHost.js';
import type { SideLink } from './sideLink.js';

/** A side process that the list has just named. */
export const newSideLink = (listed: ListedHost): SideLink => ({
  side: listed.side,
  host: listed.host,
  address: listed.address,
  isListed: true,
  isListedLeaving: listed.isLeaving,
  isConnected: false,
  greeting: undefined,
  isLeaving: false,
  digest: undefined,
  lastHeardMs: 0,
  configurationVersion: 0,
  reserved: ImmutableSet(),
  bound: ImmutableSet(),
});
