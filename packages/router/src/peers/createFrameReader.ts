import type { BinaryReader } from '@bufbuild/protobuf/wire';
import type { AddressBook } from './addressBook.js';
import { createSenderDecoder } from './codec/createSenderDecoder.js';
import { decodeDatagram } from './codec/decodeDatagram.js';
import { decodeFrameContent } from './codec/decodeFrameContent.js';
import type { DecodedContent } from './codec/decodedContent.js';
import type { Frame } from './codec/frame.js';
import type { FrameHeader } from './codec/frameHeader.js';
import type { ReceivedDatagram } from './codec/receivedDatagram.js';
import type { Sender } from './codec/sender.js';
import type { NameTable } from './codec/nameTable.js';
import type { EntryTable } from './delivery/entryTable.js';
import type { RelayQueue } from './delivery/relayQueue.js';
import type { FrameReader } from './frameReader.js';
import type { PeerExchangeContext } from './peerExchangeContext.js';

/** Names are spelled out in the frames after a request for them; further requests within this time are the same one. */
const NAMES_REQUEST_MS = 1_000;

/** Creates the reader of an entry's datagrams. */
export const createFrameReader = ({
  context: { host, handleDigest, reportUnreadable, countBytes, getNowMs },
  entries,
  names,
  addressBook,
  relayQueue,
  sendAgainTo,
}: {
  readonly context: PeerExchangeContext;
  readonly entries: EntryTable;
  readonly names: NameTable;
  readonly addressBook: AddressBook;
  readonly relayQueue: RelayQueue;
  /** Sends the latest digest directly to an entry that starts asking for it. */
  readonly sendAgainTo: (receiver: Sender) => void;
}): FrameReader => {
  const readSender = createSenderDecoder();
  let lacksNames = false;
  let namesRequestedAtMs = -Infinity;

  const handleNamesRequest = (): void => {
    const nowMs = getNowMs();
    if (nowMs - namesRequestedAtMs >= NAMES_REQUEST_MS) {
      namesRequestedAtMs = nowMs;
      names.spellAll();
    }
  };

  const handleContent = ({ sender }: FrameHeader, content: DecodedContent): void => {
    addressBook.add([sender.ip, ...content.knownAddresses]);
    if (entries.recordContent(sender.host, content)) {
      sendAgainTo(sender);
    }
    lacksNames ||= content.unresolvedTeams + content.unresolvedTargets > 0;
    if (content.lacksNames) {
      handleNamesRequest();
    }
    // A team's usage that first appears in a later digest would be charged to the quota as new.
    if (content.unresolvedTeams === 0) {
      handleDigest(content.digest);
    }
  };

  // Decoded before anything is recorded or relayed, so that a malformed frame leaves no trace.
  const decodeNew = (reader: BinaryReader, frame: Frame): DecodedContent | undefined =>
    entries.isNew(frame.header) ? decodeFrameContent(reader, frame, names) : undefined;

  const handleFrame = (
    bytes: Uint8Array,
    { delivery, header, start, end }: Frame,
    content: DecodedContent | undefined,
  ): void => {
    if (delivery === 'relay') {
      relayQueue.add(bytes.subarray(start, end));
    }
    entries.recordFrame(header, delivery);
    if (content !== undefined) {
      handleContent(header, content);
    }
  };

  const handleDatagram = (
    bytes: Uint8Array,
    address: string,
    { reader, frames }: ReceivedDatagram,
  ): void => {
    frames.forEach((frame) => {
      if (frame.header.sender.host === host) {
        return;
      }
      let content: DecodedContent | undefined;
      try {
        content = decodeNew(reader, frame);
      } catch (error) {
        reportUnreadable({ type: 'malformed', detail: String(error) }, address);
        return;
      }
      handleFrame(bytes, frame, content);
    });
  };

  return {
    receive: (bytes, address) => {
      countBytes('received', bytes.length, entries.byIp.get(address)?.dataCentre);
      decodeDatagram(bytes, readSender)
        .ifLeft((reason) => {
          reportUnreadable(reason, address);
        })
        .ifRight((datagram) => {
          handleDatagram(bytes, address, datagram);
        });
    },
    takeLacksNames: () => {
      const taken = lacksNames;
      lacksNames = false;
      return taken;
    },
  };
};
