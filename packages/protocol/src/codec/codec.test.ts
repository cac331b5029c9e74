import { describe, expect, test } from 'vitest';
import fc from 'fast-check';
import { EMPTY_CONFIGURATION } from '@parsleyhall/configuration';
import { decodeBatch } from './decodeBatch.js';
import { encodeBatch } from './encodeBatch.js';
import { decodeEntryToSideMessage } from './decodeEntryToSideMessage.js';
import { decodeSideToEntryMessage } from './decodeSideToEntryMessage.js';
import { encodeEntryToSideMessage } from './encodeEntryToSideMessage.js';
import { encodeSideToEntryMessage } from './encodeSideToEntryMessage.js';
import type { EntryToSideMessage } from '../entryToSideMessage.js';
import type { SideToEntryMessage } from '../sideToEntryMessage.js';

const RUNS = { seed: 7, numRuns: 600 } as const;

const name = fc.string({ minLength: 1, maxLength: 20, unit: 'grapheme' });
const count = fc.nat();
const quantity = fc.double({ min: 0, max: 1e12, noNaN: true }).map((value) => value + 0);
const tier = fc.constantFrom(1, 2, 3, 4);
const bytes = fc.uint8Array({ maxLength: 64 });
const headers = fc.dictionary(
  name.filter((key) => key !== '__proto__'),
  fc.string({ unit: 'grapheme' }),
  { noNullPrototype: true },
);
const counts = fc.tuple(count, count, count, count);
const quantities = fc.tuple(quantity, quantity, quantity, quantity);
const reference = { grantId: name, requestId: name };
const message = (
  type: string,
  shape: Readonly<Record<string, fc.Arbitrary<unknown>>>,
): fc.Arbitrary<unknown> => fc.record({ type: fc.constant(type), ...shape });

const configuration = message('configuration', {
  configuration: fc.record({
    version: count,
    document: fc.constant(EMPTY_CONFIGURATION.document),
    presetInForce: name,
    drainedHosts: fc.array(name),
    recentPublications: fc.array(name),
  }),
});
const heartbeat = message('heartbeat', { configurationVersion: count });

const call = fc.record(
  {
    method: name,
    path: name,
    headers,
    body: bytes,
    isStreaming: fc.boolean(),
    fencingOffset: count,
  },
  { requiredKeys: ['method', 'path', 'headers', 'body', 'isStreaming'] },
);

const reservation = fc
  .record({
    requestId: name,
    pool: name,
    model: name,
    tier,
    team: name,
    kind: name,
    deadlineLeftMs: quantity,
    firstTokenLeftMs: fc.option(quantity, { nil: undefined }),
    prefillTokens: count,
    decodeTokens: count,
    prefixFingerprints: fc.array(fc.nat(0xffff_ffff), { maxLength: 16 }),
    isNonIdempotent: fc.boolean(),
  })
  .map(({ firstTokenLeftMs, ...rest }) =>
    firstTokenLeftMs === undefined ? rest : { ...rest, firstTokenLeftMs },
  );

const entryMessages: Record<EntryToSideMessage['type'], fc.Arbitrary<unknown>> = {
  hello: message('hello', { entry: name, incarnation: name, configurationVersion: count }),
  reserve: message('reserve', { reservation }),
  withdraw: message('withdraw', { requestId: name }),
  give: message('give', { ...reference, call, deadlineLeftMs: quantity }),
  gone: message('gone', reference),
  cancel: message('cancel', reference),
  askFate: message('askFate', { ...reference, fromByte: count }),
  acknowledgeEnd: message('acknowledgeEnd', reference),
  heartbeat,
  configuration,
};

const sideMessages: Record<SideToEntryMessage['type'], fc.Arbitrary<unknown>> = {
  hello: message('hello', {
    side: name,
    incarnation: name,
    host: name,
    dataCentre: name,
    pool: name,
    models: fc.array(name),
    configurationVersion: count,
    isLeaving: fc.boolean(),
  }),
  grant: message('grant', reference),
  handBack: message('handBack', {
    requestId: name,
    reason: fc.constantFrom('draining', 'shed', 'queueFull', 'targetDown'),
    retryAfterMs: quantity,
  }),
  accepted: message('accepted', reference),
  refused: message('refused', reference),
  answerHead: message('answerHead', {
    ...reference,
    status: fc.integer({ min: 100, max: 999 }),
    headers,
  }),
  answerBytes: message('answerBytes', { ...reference, offset: count, bytes }),
  answerEnd: message('answerEnd', {
    ...reference,
    totalBytes: count,
    prefillTokens: count,
    decodeTokens: count,
  }),
  answerFailed: message('answerFailed', {
    ...reference,
    outcome: fc.constantFrom('notRun', 'unknown'),
  }),
  fate: message('fate', {
    ...reference,
    fate: fc.constantFrom('running', 'done', 'neverReceived', 'unknown'),
  }),
  digest: message('digest', {
    digest: fc.record({
      runningRequests: count,
      windowRequests: count,
      prefillTokensAhead: count,
      waitingTokensByTier: counts,
      waitingByTier: counts,
      runningByTier: counts,
      prefillTokensPerSecond: quantity,
      decodeTokensPerSecond: quantity,
      predictedWaitMsByTier: quantities,
      lowestTierAdmitted: tier,
      takesLongPrefills: fc.boolean(),
      isLeaving: fc.boolean(),
    }),
  }),
  heartbeat,
  configuration,
};

const someEntryMessage = fc.oneof(...Object.values(entryMessages));
const someSideMessage = fc.oneof(...Object.values(sideMessages));

describe('the codec', () => {
  test.each(Object.entries(entryMessages))('%s of an entry comes back as sent', (_, arbitrary) => {
    fc.assert(
      fc.property(arbitrary, (sent) => {
        const decoded = decodeEntryToSideMessage(
          encodeEntryToSideMessage(sent as EntryToSideMessage),
        );
        expect(decoded.extract()).toEqual(sent);
      }),
      { ...RUNS, numRuns: 100 },
    );
  });

  test.each(Object.entries(sideMessages))('%s of a side comes back as sent', (_, arbitrary) => {
    fc.assert(
      fc.property(arbitrary, (sent) => {
        const decoded = decodeSideToEntryMessage(
          encodeSideToEntryMessage(sent as SideToEntryMessage),
        );
        expect(decoded.extract()).toEqual(sent);
      }),
      { ...RUNS, numRuns: 100 },
    );
  });

  test('whatever bytes arrive, the answer is a message or a typed error', () => {
    const flip = fc.tuple(fc.nat(200), fc.nat(255));
    const damaged = fc
      .tuple(
        fc.oneof(
          someEntryMessage.map((sent) => encodeEntryToSideMessage(sent as EntryToSideMessage)),
          someSideMessage.map((sent) => encodeSideToEntryMessage(sent as SideToEntryMessage)),
        ),
        fc.array(flip, { maxLength: 4 }),
        fc.nat(200),
      )
      .map(([encoded, flips, length]) => {
        const copy = Uint8Array.from(encoded);
        for (const [place, value] of flips) {
          copy[place % Math.max(1, copy.length)] = value;
        }
        return copy.subarray(0, Math.max(1, copy.length - (length % 3)));
      });
    fc.assert(
      fc.property(fc.oneof(damaged, fc.uint8Array({ maxLength: 200 })), (received) => {
        for (const decoded of [
          decodeEntryToSideMessage(received),
          decodeSideToEntryMessage(received),
        ]) {
          decoded.ifLeft((error) => {
            expect(error.type).toBe('malformedMessage');
          });
        }
      }),
      { ...RUNS, numRuns: 3_000 },
    );
  });

  test('a tier outside one to four and an unknown reason are refused by name', () => {
    const reserve = fc.sample(entryMessages.reserve, { seed: 3, numRuns: 1 })[0] as {
      readonly reservation: object;
    };
    const wrongTier = { ...reserve, reservation: { ...reserve.reservation, tier: 5 } };
    const refusedTier = decodeEntryToSideMessage(
      encodeEntryToSideMessage(wrongTier as unknown as EntryToSideMessage),
    );
    expect(refusedTier.extract()).toMatchObject({ fields: ['reservation.tier'] });
    const wrongReason = { type: 'handBack', requestId: 'r', reason: 'mood', retryAfterMs: 1 };
    const refusedReason = decodeSideToEntryMessage(
      encodeSideToEntryMessage(wrongReason as unknown as SideToEntryMessage),
    );
    expect(refusedReason.extract()).toMatchObject({ reason: 'invalid', fields: ['reason'] });
  });
});

test('a batch keeps its messages and their order, and whatever bytes come in its place are a typed error or a batch', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 64 })), bytes, (messages, noise) => {
      const decoded = decodeBatch(encodeBatch(messages)).orDefault([]);
      expect(decoded.map((part) => [...part])).toEqual(messages.map((part) => [...part]));
      expect(() => decodeBatch(noise)).not.toThrow();
    }),
    RUNS,
  );
});
