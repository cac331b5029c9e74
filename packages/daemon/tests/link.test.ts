import { expect, test } from 'vitest';
import type { EntryId, Incarnation, RequestId } from '@parsleyhall/common';
import type { EntryToSideMessage, SideToEntryMessage } from '@parsleyhall/protocol';
import { startRelay } from '@parsleyhall/stand-ins';
import { createLinkClient } from '../src/link/createLinkClient.js';
import { startLinkServer } from '../src/link/startLinkServer.js';
import { createPeerCheck } from '../src/process/createPeerCheck.js';
import { createEventQueue } from './support/createEventQueue.js';

const MAXIMUM_BODY_BYTES = 100_000;
const ENTRY = 'entry-1' as EntryId;
const HELLO: EntryToSideMessage = {
  type: 'hello',
  entry: ENTRY,
  incarnation: 'one' as Incarnation,
  configurationVersion: 0,
};
const HEARTBEAT: SideToEntryMessage = { type: 'heartbeat', configurationVersion: 7 };

const startServer = async (allowed: readonly string[]) => {
  const events = createEventQueue();
  const server = await startLinkServer({
    listen: { address: '127.0.0.1', port: 0 },
    maximumBodyBytes: MAXIMUM_BODY_BYTES,
    isAllowedPeer: createPeerCheck(allowed),
    onConnected: (entry) => {
      events.push(`connected ${entry}`);
    },
    onMessage: (_, message) => {
      events.push(message.type);
    },
    onDisconnected: (entry) => {
      events.push(`disconnected ${entry}`);
    },
    onMalformed: () => {
      events.push('malformed');
    },
    onRefused: () => {
      events.push('refused');
    },
  });
  return { server, events };
};

const connect = (address: string) => {
  const events = createEventQueue();
  const client = createLinkClient({
    address,
    maximumBodyBytes: MAXIMUM_BODY_BYTES,
    getRandom: () => 0,
    onConnected: () => {
      events.push('connected');
    },
    onMessage: (message) => {
      events.push(message.type);
    },
    onDisconnected: () => {
      events.push('disconnected');
    },
    onMalformed: () => {
      events.push('malformed');
    },
  });
  return { client, events };
};

test('both ends of a cut link are notified and the link is reestablished', async () => {
  const { server, events: atSide } = await startServer(['127.0.0.0/8']);
  await using relay = await startRelay({ target: server.address, delayMs: 0 });
  const { client, events: atEntry } = connect(relay.address);

  await atEntry.expectNext('connected');
  client.send(HELLO);
  await atSide.expectNext(`connected ${ENTRY}`);
  await atSide.expectNext('hello');
  server.send(ENTRY, HEARTBEAT);
  await atEntry.expectNext('heartbeat');

  relay.cut();
  await atEntry.expectNext('disconnected');
  await atSide.expectNext(`disconnected ${ENTRY}`);
  relay.heal();
  await atEntry.expectNext('connected');
  client.send(HELLO);
  await atSide.expectNext(`connected ${ENTRY}`);

  await client[Symbol.asyncDispose]();
  await server[Symbol.asyncDispose]();
});

test('a newer stream of an entry replaces the earlier one', async () => {
  const { server, events: atSide } = await startServer(['127.0.0.0/8']);
  const first = connect(server.address);
  await first.events.expectNext('connected');
  first.client.send(HELLO);
  await atSide.expectNext(`connected ${ENTRY}`);
  const second = connect(server.address);
  await second.events.expectNext('connected');
  second.client.send(HELLO);
  await atSide.expectNext('hello');
  await atSide.expectNext(`disconnected ${ENTRY}`);
  await atSide.expectNext(`connected ${ENTRY}`);
  await first.events.expectNext('disconnected');
  await first.client[Symbol.asyncDispose]();
  await second.client[Symbol.asyncDispose]();
  await server[Symbol.asyncDispose]();
});

test('a stream that does not begin with hello is closed and never reported as connected', async () => {
  const { server, events: atSide } = await startServer(['127.0.0.0/8']);
  const { client, events: atEntry } = connect(server.address);
  await atEntry.expectNext('connected');
  client.send({ type: 'withdraw', requestId: 'r' as RequestId });
  await atEntry.expectNext('disconnected');
  expect(atSide.getAll()).toEqual([]);
  await client[Symbol.asyncDispose]();
  await server[Symbol.asyncDispose]();
});

test('a peer that is not allowed is refused', async () => {
  const { server, events: atSide } = await startServer(['10.0.0.0/8']);
  const { client, events: atEntry } = connect(server.address);
  await atSide.expectNext('refused');
  expect(atEntry.getAll()).toEqual([]);
  await client[Symbol.asyncDispose]();
  await server[Symbol.asyncDispose]();
});
