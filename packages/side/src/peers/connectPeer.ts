import { Set } from 'immutable';
import type { EntryId } from '@parsleyhall/common';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import type { Peer } from './peer.js';
import { newStep } from '../step/newStep.js';
import { sendToEntry } from '../step/sendToEntry.js';
import { dropPeerWork } from './dropPeerWork.js';

const newPeer = (connection: number, lastHeardMs: number): Peer => ({
  connection,
  incarnation: undefined,
  formerIncarnation: undefined,
  lastHeardMs,
  reservations: Set(),
  grants: Set(),
});

/** Greets an entry on its new stream; nothing stands from an earlier stream but what was given. */
export const connectPeer = (context: SideContext, state: SideState, entry: EntryId): SideStep => {
  const { side, incarnation, host, dataCentre, pool, models } = context.settings;
  const dropped = dropPeerWork(context, state, entry);
  const connection = state.periods.lastConnection + 1;
  return newStep(
    {
      ...dropped,
      peers: dropped.peers.set(entry, newPeer(connection, context.nowMs)),
      periods: { ...dropped.periods, lastConnection: connection },
    },
    sendToEntry(entry, {
      type: 'hello',
      side,
      incarnation,
      host,
      dataCentre,
      pool,
      models,
      configurationVersion: state.configuration.version,
      isLeaving: !context.decisions.acceptsNewWork(state.leaving),
    }),
  );
};
