import type { EntryId } from '@parsleyhall/common';
import type { EntryToSideMessage } from '@parsleyhall/protocol';
import type { SideState } from '../sideState.js';
import type { SideContext } from '../step/sideContext.js';
import type { SideStep } from '../step/sideStep.js';
import { syncConfiguration } from '../configuration/syncConfiguration.js';
import { cancelOrphans } from '../runs/cancelOrphans.js';
import { andThen } from '../step/andThen.js';
import { newStep } from '../step/newStep.js';
import { dropPeerWork } from './dropPeerWork.js';
import { updatePeer } from './updatePeer.js';

type Hello = Extract<EntryToSideMessage, { readonly type: 'hello' }>;

const learnIncarnation = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
  { incarnation }: Hello,
): SideStep => {
  const peer = state.peers.get(entry);
  const isStale = peer?.formerIncarnation === incarnation;
  if (peer === undefined || isStale || peer.incarnation === incarnation) {
    return newStep(state);
  }
  const dropped = peer.incarnation === undefined ? state : dropPeerWork(context, state, entry);
  const known = updatePeer(dropped, entry, ({ incarnation: formerIncarnation, ...rest }) => ({
    ...rest,
    incarnation,
    formerIncarnation,
  }));
  return cancelOrphans(context, known, { entry, incarnation });
};

/** Learns an entry's incarnation and configuration; a new incarnation knows nothing of the old one's work. */
export const takeHello = (
  context: SideContext,
  state: SideState,
  entry: EntryId,
  hello: Hello,
): SideStep =>
  andThen(learnIncarnation(context, state, entry, hello), (next) =>
    syncConfiguration(next, entry, hello.configurationVersion),
  );
