import { createAddressBook } from './createAddressBook.js';
import { createFrameReader } from './createFrameReader.js';
import { createFrameWriter } from './createFrameWriter.js';
import { createNameTable } from './codec/createNameTable.js';
import { encodeDatagram } from './codec/encodeDatagram.js';
import { createEntryTable } from './delivery/createEntryTable.js';
import { JUDGE_INTERVAL_MS } from './delivery/judgeInterval.js';
import { createRelayQueue } from './delivery/createRelayQueue.js';
import type { PeerExchange } from './peerExchange.js';
import type { PeerExchangeContext } from './peerExchangeContext.js';

/** Creates the exchange of digests. Each digest is complete, so that lost ones need no retransmission. */
export const createPeerExchange = (context: PeerExchangeContext): PeerExchange => {
  const { dataCentre, transmit, schedule, countBytes } = context;
  const addressBook = createAddressBook(context.ip);
  const entries = createEntryTable(context);
  const names = createNameTable();

  const relay = (frames: readonly Uint8Array[]): void => {
    const bytes = encodeDatagram(frames.map((frame) => ({ delivery: 'relayed', bytes: frame })));
    let sentBytes = 0;
    entries.byIp.forEach((entry, address) => {
      if (entry.dataCentre === dataCentre) {
        transmit(bytes, address);
        sentBytes += bytes.length;
      }
    });
    countBytes('sent', sentBytes, dataCentre);
  };

  const relayQueue = createRelayQueue({ relay, schedule });
  const reader = createFrameReader({
    context,
    entries,
    names,
    addressBook,
    relayQueue,
    sendAgainTo: (receiver) => {
      writer.sendAgainTo(receiver);
    },
  });
  const writer = createFrameWriter({
    context,
    entries,
    names,
    addressBook,
    relayQueue,
    takeLacksNames: reader.takeLacksNames,
  });
  let cancelJudging = (): void => undefined;
  const judge = (): void => {
    cancelJudging = schedule(JUDGE_INTERVAL_MS, judge);
    if (entries.judge()) {
      writer.sendAgainToAll();
    }
  };
  judge();
  return {
    send: writer.send,
    receive: reader.receive,
    addAddresses: addressBook.add,
    [Symbol.dispose]: () => {
      cancelJudging();
      relayQueue[Symbol.dispose]();
    },
  };
};
