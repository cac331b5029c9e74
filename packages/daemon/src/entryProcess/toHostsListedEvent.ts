import type { SideId } from '@parsleyhall/common';
import type { HostList } from '@parsleyhall/clients';
import type { EntryEventBody } from './entryEventBody.js';

/** Converts the platform's host list to the entry's `hostsListed` event. */
export const toHostsListedEvent = ({ hosts }: HostList): EntryEventBody => {
  const entries = hosts.filter(({ role, state }) => role === 'entry' && state === 'live');
  return {
    type: 'hostsListed',
    hosts: hosts
      .filter(({ role }) => role === 'target')
      .map(({ host, process, address, state, dataCentre, pool }) => ({
        host,
        side: process as SideId,
        address,
        isLeaving: state === 'leaving',
        dataCentre,
        ...(pool === undefined ? {} : { pool }),
      })),
    liveEntries: Math.max(1, entries.length),
  };
};
