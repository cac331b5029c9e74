import { expect, test } from 'vitest';
import type {
  EntryId,
  GrantId,
  HostName,
  Incarnation,
  PoolName,
  RequestId,
  SideId,
  TeamName,
} from '@parsleyhall/common';
import { EMPTY_CONFIGURATION } from '@parsleyhall/configuration';
import type { ConfigurationState, Preset } from '@parsleyhall/configuration';
import type { SideDigest, SideToEntryMessage } from '@parsleyhall/protocol';
import type { ArrivedRequest } from './arrivedRequest.js';
import { createEntryReducer } from './createEntryReducer.js';
import type { EntryEffect } from './entryEffect.js';
import type { EntryEvent } from './entryEvent.js';
import type { EntrySettings } from './entrySettings.js';
import type { KeyRecord } from './keys/keyRecord.js';

const SETTINGS: EntrySettings = {
  entry: 'entry-1' as EntryId,
  incarnation: 'e1' as Incarnation,
  host: 'host-1' as HostName,
  dataCentre: 'maadi',
  heartbeatMs: 500,
  peerTimeoutMs: 2_500,
  settleAllowanceMs: 5_000,
  reservationsPerRequest: 8,
  maximumWaiting: 4,
  maximumWaitingBytes: 1_000_000,
  keyPartitions: 1,
  logRetentionMs: 3_600_000,
  clockToleranceMs: 1_000,
  longPrefillTokens: 4_000,
};

const TIERS = [1, 2, 3, 4] as const;

const PRESET: Preset = {
  name: 'ordinary',
  tiers: TIERS.map((tier) => ({ tier, objective: 0.99, deadlineMs: 10_000 })),
  defaultTier: 3,
  lowestTierAdmitted: 4,
  tierOneReservedShare: 0.1,
  teamLimits: [{ team: 'small' as TeamName, requestsPerSecond: 1 }],
  pricePerMillionPrefillTokens: 1,
};

const CONFIGURATION: ConfigurationState = {
  ...EMPTY_CONFIGURATION,
  version: 3,
  presetInForce: 'ordinary',
  document: { teams: [], pools: [], presets: [PRESET], initialPreset: 'ordinary' },
};

const SIDE = 'side-1' as SideId;

const newRequest = (id: string, change: Partial<ArrivedRequest> = {}): ArrivedRequest => ({
  requestId: id as RequestId,
  team: 'large' as TeamName,
  tier: 2,
  pool: 'model' as PoolName,
  model: 'm',
  kind: 'draft',
  deadlineMs: 10_000,
  prefillTokens: 100,
  decodeTokens: 100,
  prefixFingerprints: [],
  call: { method: 'POST', path: '/', headers: {}, body: new Uint8Array(8), isStreaming: true },
  ...change,
});

const newEntry = (settings: Partial<EntrySettings> = {}) => {
  const { initialState, reduce } = createEntryReducer({ ...SETTINGS, ...settings });
  let state = initialState;
  let nowMs = 0;
  const send = (event: EntryEvent extends infer Event ? Event : never): readonly EntryEffect[] => {
    const reduction = reduce(state, event);
    state = reduction.state;
    return reduction.effects;
  };
  const at = (time: number) => ({ nowMs: (nowMs = time), wallMs: 1_700_000_000_000 + time });
  const hear = (message: SideToEntryMessage) =>
    send({ ...at(nowMs), type: 'sideMessage', side: SIDE, message });
  const greet = (incarnation: string) => {
    send({ ...at(nowMs), type: 'sideConnected', side: SIDE });
    return hear({
      type: 'hello',
      side: SIDE,
      incarnation: incarnation as Incarnation,
      host: 'host-9' as HostName,
      dataCentre: 'maadi',
      pool: 'model' as PoolName,
      models: ['m'],
      configurationVersion: 3,
      isLeaving: false,
    });
  };
  send({ ...at(0), type: 'configurationFolded', configuration: CONFIGURATION });
  const hosts = [
    { host: 'host-9' as HostName, side: SIDE, address: '127.0.0.1:1', isLeaving: false },
  ];
  send({ ...at(0), type: 'hostsListed', hosts });
  greet('s1');
  return { send, at, hear, greet };
};

const getSent = (effects: readonly EntryEffect[], type: string): readonly unknown[] =>
  effects.filter((effect) => effect.type === 'sendToSide' && effect.message.type === type);

const CLOSED_DIGEST: SideDigest = {
  runningRequests: 1,
  windowRequests: 1,
  prefillTokensAhead: 0,
  waitingTokensByTier: [0, 0, 0, 0],
  waitingByTier: [0, 0, 0, 0],
  runningByTier: [1, 0, 0, 0],
  prefillTokensPerSecond: 1_000,
  decodeTokensPerSecond: 100,
  predictedWaitMsByTier: [0, 0, 0, 0],
  lowestTierAdmitted: 1,
  takesLongPrefills: true,
  isLeaving: false,
};

const GRANT = 's1-1' as GrantId;

test('a broken answer is taken up again at the first byte missing and reaches the caller whole', () => {
  const entry = newEntry();
  const requestId = 'r1' as RequestId;
  const arrived = entry.send({
    ...entry.at(1),
    type: 'requestArrived',
    request: newRequest(requestId),
  });
  expect(getSent(arrived, 'reserve')).toHaveLength(1);
  expect(getSent(entry.hear({ type: 'grant', grantId: GRANT, requestId }), 'give')).toHaveLength(1);
  entry.hear({ type: 'answerHead', grantId: GRANT, requestId, status: 200, headers: {} });
  const about = { grantId: GRANT, requestId };
  entry.hear({ type: 'answerBytes', ...about, offset: 0, bytes: new Uint8Array([1, 2, 3]) });
  entry.send({ ...entry.at(5), type: 'sideDisconnected', side: SIDE });
  const [asked] = getSent(entry.greet('s1'), 'askFate');
  expect(asked).toMatchObject({ message: { fromByte: 3 } });
  entry.hear({ type: 'fate', ...about, fate: 'running' });
  const bytes = new Uint8Array([2, 3, 4]);
  const overlapping = entry.hear({ type: 'answerBytes', ...about, offset: 1, bytes });
  expect(overlapping).toEqual([{ type: 'answerBytes', requestId, bytes: new Uint8Array([4]) }]);
  const end = { totalBytes: 4, prefillTokens: 1, decodeTokens: 1 };
  const ended = entry.hear({ type: 'answerEnd', ...about, ...end });
  expect(ended).toContainEqual({ type: 'answerEnd', requestId });
});

test('a grant that was never received sends the request elsewhere; one that nobody knows ends unknown', () => {
  const entry = newEntry();
  for (const [id, fate] of [
    ['r1', 'neverReceived'],
    ['r2', 'unknown'],
  ] as const) {
    const requestId = id as RequestId;
    const about = { grantId: `${id}-grant` as GrantId, requestId };
    entry.send({ ...entry.at(1), type: 'requestArrived', request: newRequest(id) });
    entry.hear({ type: 'grant', ...about });
    entry.send({ ...entry.at(2), type: 'sideDisconnected', side: SIDE });
    entry.greet('s1');
    const effects = entry.hear({ type: 'fate', ...about, fate });
    expect(getSent(effects, 'reserve')).toHaveLength(fate === 'neverReceived' ? 1 : 0);
    expect(effects.some(({ type }) => type === 'answerFailure')).toBe(fate === 'unknown');
  }
});

test('a full entry sheds its lowest tier first and refuses the lowest with when to come back', () => {
  const entry = newEntry();
  const arrive = (id: string, tier: 1 | 4) =>
    entry.send({ ...entry.at(1), type: 'requestArrived', request: newRequest(id, { tier }) });
  ['a', 'b', 'c', 'd'].forEach((id) => arrive(id, 4));
  const shed = arrive('urgent', 1).find(({ type }) => type === 'answerFailure');
  expect(shed).toMatchObject({ requestId: 'd', failure: { type: 'notRun', reason: 'shed' } });
  const refused = arrive('late', 4).find(({ type }) => type === 'answerFailure');
  expect(refused).toMatchObject({ requestId: 'late', failure: { reason: 'shed' } });
  const [failure] = [refused].flatMap((effect) =>
    effect?.type === 'answerFailure' && effect.failure.type === 'notRun' ? [effect.failure] : [],
  );
  expect(failure?.retryAfterMs).toBeGreaterThan(0);
});

test('a limit of a team refuses what is over it until the credit is back', () => {
  const entry = newEntry();
  const team = 'small' as TeamName;
  const arrive = (id: string, time: number) =>
    entry
      .send({ ...entry.at(time), type: 'requestArrived', request: newRequest(id, { team }) })
      .find(({ type }) => type === 'answerFailure');
  expect(arrive('a', 1)).toBeUndefined();
  expect(arrive('b', 2)).toBeUndefined();
  expect(arrive('c', 3)).toMatchObject({ failure: { reason: 'teamLimit' } });
  expect(arrive('d', 1_010)).toBeUndefined();
});

test('a claim runs only once its own start is read back first; a rival joins and gets the kept answer', () => {
  const entry = newEntry();
  const key = '018bcfe5-6800-7000-8000-000000000001';
  const request = newRequest('r1', { idempotencyKey: key });
  const claimed = entry.send({ ...entry.at(1_000), type: 'requestArrived', request });
  const own = claimed.flatMap((effect) =>
    effect.type === 'appendKeyRecord' ? [effect.record] : [],
  );
  expect(getSent(claimed, 'reserve')).toHaveLength(0);
  const [start] = own;
  if (start?.type !== 'start') {
    throw new Error('no start was appended');
  }
  const rival = { ...start, attempt: 'rival#1' };
  const read = (offset: number, record: KeyRecord) =>
    entry.send({
      ...entry.at(1_100 + offset),
      type: 'keyRecordsRead',
      partition: 0,
      records: [{ offset, record }],
      nextOffset: offset + 1,
      isAtEnd: true,
    });
  expect(getSent(read(1, rival), 'reserve')).toHaveLength(0);
  expect(getSent(read(2, start), 'reserve')).toHaveLength(0);
  const body = Buffer.from('bound').toString('base64');
  const done: KeyRecord = { type: 'done', key, attempt: 'rival#1', status: 200, headers: {}, body };
  const answered = read(3, done);
  expect(answered).toContainEqual({
    type: 'answerBytes',
    requestId: 'r1',
    bytes: Buffer.from('bound'),
  });
});

test('a request shed by a closed pool takes many thousands of lower tiers with it, lowest first', () => {
  const count = 20_000;
  const entry = newEntry({ maximumWaiting: count + 1 });
  const arrive = (id: string, tier: 2 | 4) =>
    entry.send({ ...entry.at(1), type: 'requestArrived', request: newRequest(id, { tier }) });
  for (let index = 0; index < count; index += 1) {
    arrive(`low-${String(index)}`, 4);
  }
  arrive('high', 2);
  const requestId = 'high' as RequestId;
  entry.hear({ type: 'digest', digest: CLOSED_DIGEST });
  const shed = entry
    .hear({ type: 'handBack', requestId, reason: 'shed', retryAfterMs: 100 })
    .flatMap((effect) => (effect.type === 'answerFailure' ? [effect.requestId] : []));
  expect(shed).toHaveLength(count + 1);
  expect(shed.at(-1)).toBe('high');
});

test('a refused request asks again where it may be admitted and gives up one lower request for it', () => {
  const entry = newEntry();
  const arrive = (id: string, tier: 2 | 4) =>
    entry.send({ ...entry.at(1), type: 'requestArrived', request: newRequest(id, { tier }) });
  arrive('low-1', 4);
  arrive('low-2', 4);
  arrive('high', 2);
  const requestId = 'high' as RequestId;
  const effects = entry.hear({ type: 'handBack', requestId, reason: 'shed', retryAfterMs: 100 });
  const shed = effects.flatMap((effect) =>
    effect.type === 'answerFailure' ? [effect.requestId] : [],
  );
  expect(shed).toEqual(['low-2']);
  expect(getSent(effects, 'reserve')).toHaveLength(1);
});
