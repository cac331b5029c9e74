import { isDeepStrictEqual } from 'node:util';
import { computeFingerprint } from '@parsleyhall/common';
import type { PeerDigest } from '@parsleyhall/routing';
import type { AddressBook } from './addressBook.js';
import type { Delivery } from './codec/delivery.js';
import { encodeDatagram } from './codec/encodeDatagram.js';
import { encodeFrame } from './codec/encodeFrame.js';
import type { NameTable } from './codec/nameTable.js';
import type { EntryTable } from './delivery/entryTable.js';
import { planDelivery } from './delivery/planDelivery.js';
import type { PlannedSend } from './delivery/plannedSend.js';
import type { RelayQueue } from './delivery/relayQueue.js';
import type { FrameWriter } from './frameWriter.js';
import type { PeerExchangeContext } from './peerExchangeContext.js';
import { UNCHANGED_RESEND_MS } from './resendTiming.js';

/** Time between two digests to entries that have most likely ended but may be heard again. */
const PROBE_INTERVAL_MS = 1_000;

/** Creates the writer of an entry's datagrams. */
export const createFrameWriter = ({
  context: { host, dataCentre, ip, transmit, countBytes, getNowMs },
  entries,
  names,
  addressBook,
  relayQueue,
  takeLacksNames,
}: {
  readonly context: PeerExchangeContext;
  readonly entries: EntryTable;
  readonly names: NameTable;
  readonly addressBook: AddressBook;
  readonly relayQueue: RelayQueue;
  readonly takeLacksNames: () => boolean;
}): FrameWriter => {
  const turnOffset = computeFingerprint(host);
  let frameNumber = 0;
  let lastContent: unknown;
  let lastDigest: PeerDigest | undefined;
  let lastFrame: Uint8Array | undefined;
  let lastSentAtMs = -Infinity;
  let probedRetiredAtMs = -Infinity;
  let lacksUnsentNames = false;
  let hasToldLeaving = false;

  const takeProbesRetired = (nowMs: number): boolean => {
    if (nowMs - probedRetiredAtMs < PROBE_INTERVAL_MS) {
      return false;
    }
    probedRetiredAtMs = nowMs;
    return true;
  };

  const isUnchanged = (content: unknown): boolean =>
    getNowMs() - lastSentAtMs < UNCHANGED_RESEND_MS && isDeepStrictEqual(content, lastContent);

  const takeSendsToAll = ({ isLeaving }: PeerDigest): boolean => {
    const sendsToAll = isLeaving && !hasToldLeaving;
    hasToldLeaving = isLeaving;
    return sendsToAll;
  };

  const transmitFrame = (frame: Uint8Array, sends: readonly PlannedSend[]): void => {
    const datagrams = new Map<Delivery, Uint8Array>();
    const getDatagram = (delivery: Delivery): Uint8Array => {
      const bytes = datagrams.get(delivery) ?? encodeDatagram([{ delivery, bytes: frame }]);
      datagrams.set(delivery, bytes);
      return bytes;
    };
    const relayedFrames = relayQueue.takeForOwnDatagram(frame.length);
    const nearby = encodeDatagram([
      { delivery: 'direct', bytes: frame },
      ...relayedFrames.map((bytes) => ({ delivery: 'relayed' as const, bytes })),
    ]);
    const sentBytes = new Map<string | undefined, number>();
    sends.forEach(({ address, delivery, dataCentre: receiver }) => {
      const bytes = receiver === dataCentre ? nearby : getDatagram(delivery);
      transmit(bytes, address);
      sentBytes.set(receiver, (sentBytes.get(receiver) ?? 0) + bytes.length);
    });
    sentBytes.forEach((bytes, receiver) => {
      countBytes('sent', bytes, receiver);
    });
  };

  const sendDigest = (digest: PeerDigest, sendsToAll: boolean): void => {
    const reception = entries.getReceptionReport();
    const lacksNames = lacksUnsentNames || takeLacksNames();
    const content = { ...digest, sequence: 0, ...reception, lacksNames };
    if (isUnchanged(content)) {
      lacksUnsentNames = lacksNames;
      return;
    }
    lacksUnsentNames = false;
    lastContent = content;
    lastDigest = digest;
    lastSentAtMs = getNowMs();
    frameNumber += 1;
    const frame = encodeFrame(
      { sender: { host, dataCentre, ip, incarnation: digest.incarnation }, frameNumber },
      { digest, knownAddresses: addressBook.takeNext(), ...reception, lacksNames },
      names,
    );
    lastFrame = frame;
    const sends = planDelivery({
      addresses: addressBook.addresses,
      entriesByIp: entries.byIp,
      dataCentre,
      turn: turnOffset + frameNumber,
      nowMs: lastSentAtMs,
      silentAfterMs: entries.getSilentAfterMs(),
      probesRetired: takeProbesRetired(lastSentAtMs),
      sendsToAll: takeSendsToAll(digest) || sendsToAll,
    });
    transmitFrame(frame, sends);
  };

  return {
    send: (digest) => {
      sendDigest(digest, false);
    },
    sendAgainToAll: () => {
      if (lastDigest !== undefined) {
        sendDigest(lastDigest, true);
      }
    },
    sendAgainTo: ({ ip: address, dataCentre: receiver }) => {
      if (lastFrame !== undefined) {
        const bytes = encodeDatagram([{ delivery: 'extra', bytes: lastFrame }]);
        transmit(bytes, address);
        countBytes('sent', bytes.length, receiver);
      }
    },
  };
};
