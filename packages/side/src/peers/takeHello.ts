import type { EntryId } from '@parsleyhall/common';
import type { EntryToSideMessage } from '@parsleyhall/protocol';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { syncConfiguration } from '../configuration/syncConfiguration.js';
import { dropPeerWork } from './dropPeerWork.js';
import { updatePeer } from './updatePeer.js';

type Hello = Extract<EntryToSideMessage, { readonly type: 'hello' }>;

const learnIncarnation = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
  { incarnation }: Hello,
): SideState => {
  const peer = state.peers.get(entry);
  const isStale = peer?.formerIncarnation === incarnation;
  if (peer === undefined || isStale || peer.incarnation === incarnation) {
    return state;
  }
  const dropped = peer.incarnation === undefined ? state : dropPeerWork(context, state, entry);
  return updatePeer(dropped, entry, (known) => ({
    ...known,
    incarnation,
    formerIncarnation: known.incarnation,
  }));
};

/** Learns an entry's incarnation and configuration; a new incarnation knows nothing of the old one's work. */
export const takeHello = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
  hello: Hello,
): SideStep =>
  syncConfiguration(
    learnIncarnation(context, state, entry, hello),
    entry,
    hello.configurationVersion,
  );
