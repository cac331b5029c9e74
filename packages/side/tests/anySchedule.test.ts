import { expect, test } from 'vitest';
import fc from 'fast-check';
import type { GrantId, RequestId } from '@parsleyhall/common';
import type { EntryToSideMessage } from '@parsleyhall/protocol';
import type { SideDecisions } from '../src/index.js';
import { SideHarness } from './sideHarness.js';

const ENTRIES = ['entry-1', 'entry-2'] as const;

type Action = readonly [kind: string, entry: number, request: number, choice: number];

const newActions = (): fc.Arbitrary<readonly Action[]> =>
  fc.array(
    fc.tuple(
      fc.constantFrom(
        ...[
          'reserve',
          'reserve',
          'answerGrant',
          'answerGrant',
          'answerGrant',
          'withdraw',
          'askFate',
        ],
        ...[
          'repeat',
          'repeat',
          'end',
          'acknowledge',
          'fail',
          'bytes',
          'cancel',
          'pass',
          'pause',
          'reconnect',
        ],
      ),
      fc.nat(1),
      fc.nat(4),
      fc.nat(99),
    ),
    { minLength: 40, maxLength: 200 },
  );

/** Plays messages in any order, doubled and late, and answers what the target and the entries saw. */
const play = (actions: readonly Action[], decisions: Partial<SideDecisions>) => {
  const side = new SideHarness({ initialWindowRequests: 3, maximumWaiting: 6 }, decisions);
  side.start(...ENTRIES);
  const sent: (readonly [entry: string, message: EntryToSideMessage])[] = [];
  const say = (entry: string, message: EntryToSideMessage): void => {
    sent.push([entry, message]);
    side.say(entry, message);
  };
  const steps: Readonly<
    Record<string, (entry: string, id: RequestId, choice: number, grantId: GrantId) => void>
  > = {
    reserve: (entry, id, choice) => {
      const tier = ([1, 2, 3, 4] as const)[choice % 4] ?? 4;
      side.reserve(entry, id, { tier, deadlineLeftMs: 500 + choice * 50 });
    },
    answerGrant: (entry, id, choice, grantId) => {
      if (choice % 4 === 0) {
        say(entry, { type: 'gone', grantId, requestId: id });
      } else {
        sent.push([entry, side.newGive(id, grantId)]);
        side.give(entry, id, grantId);
      }
    },
    withdraw: (entry, id) => {
      say(entry, { type: 'withdraw', requestId: id });
    },
    askFate: (entry, id, choice, grantId) => {
      say(entry, { type: 'askFate', grantId, requestId: id, fromByte: choice % 3 });
    },
    repeat: (_entry, _id, choice) => {
      const again = sent[choice % Math.max(1, sent.length)];
      if (again !== undefined) {
        side.say(...again);
      }
    },
    bytes: (_entry, _id, _choice, grantId) => {
      side.apply({ type: 'targetBytes', grantId, bytes: new Uint8Array([1, 2]), tokens: 1 });
    },
    end: (_entry, _id, _choice, grantId) => {
      side.apply({ type: 'targetEnd', grantId, prefillTokens: 100, decodeTokens: 1 });
    },
    acknowledge: (entry, id, _choice, grantId) => {
      say(entry, { type: 'acknowledgeEnd', grantId, requestId: id });
    },
    fail: (_entry, _id, choice, grantId) => {
      const outcome = choice % 2 === 0 ? 'notRun' : 'unknown';
      side.apply({ type: 'targetFailed', grantId, outcome });
    },
    cancel: (entry, id, _choice, grantId) => {
      say(entry, { type: 'cancel', grantId, requestId: id });
    },
    pass: (_entry, _id, choice) => {
      side.pass(choice);
    },
    pause: (_entry, _id, choice) => {
      side.nowMs += side.settings.grantLeaseMs + choice;
    },
    reconnect: (entry) => {
      side.apply({ type: 'entryDisconnected', entry });
      side.apply({ type: 'entryConnected', entry });
    },
  };
  for (const [kind, entryIndex, request, choice] of actions) {
    const id = `${ENTRIES[entryIndex] ?? ''}/${request}` as RequestId;
    const grants = side.grantsOf(id);
    const grantId = grants[choice % Math.max(1, grants.length)] ?? ('life-1/0' as GrantId);
    steps[kind]?.(ENTRIES[entryIndex] ?? '', id, choice, grantId);
  }
  return side;
};

/** What a run of the reducer may never show, judged by its effects alone. */
const findFaults = (side: SideHarness): readonly string[] => {
  const faults: string[] = [];
  const called = new Map<string, string>();
  const denied = new Set<string>();
  const offered = new Set<string>();
  for (const effect of side.effects) {
    if (effect.type === 'callTarget') {
      const { grantId, requestId } = effect;
      faults.push(...(called.has(requestId) ? ['called twice'] : []));
      faults.push(...(denied.has(`${grantId} ${requestId}`) ? ['called after denial'] : []));
      faults.push(...(offered.has(`${grantId} ${requestId}`) ? [] : ['called without its grant']));
      called.set(requestId, grantId);
    }
    const message = effect.type === 'sendToEntry' ? effect.message : undefined;
    if (message?.type === 'grant') {
      offered.add(`${message.grantId} ${message.requestId}`);
    }
    const isDenial =
      message?.type === 'refused' || (message?.type === 'fate' && message.fate === 'neverReceived');
    if (isDenial) {
      denied.add(`${message.grantId} ${message.requestId}`);
      faults.push(...(called.get(message.requestId) === message.grantId ? ['denied a run'] : []));
    }
  }
  return faults;
};

/** After everything has ended, room is whole again and a new request is served. */
const findLeaks = (side: SideHarness): readonly string[] => {
  for (const { grantId } of [...side.state.runs.byId.values()]) {
    side.apply({ type: 'targetEnd', grantId, prefillTokens: 1, decodeTokens: 1 });
  }
  for (let round = 0; round < 6; round += 1) {
    for (const entry of ENTRIES) {
      side.say(entry, { type: 'heartbeat', configurationVersion: 1 });
    }
    side.pass(2_000);
  }
  const { requests, byTier, tokens, prefillTokensAhead, longPrefills } = side.state.occupancy;
  const left = [requests, ...byTier, tokens, prefillTokensAhead, longPrefills];
  side.reserve('entry-1', 'last', { tier: 1, deadlineLeftMs: 60_000 });
  return [
    ...(left.every((count) => count === 0) ? [] : [`room leaked: ${left.join(' ')}`]),
    ...(side.state.runs.byId.size === 0 ? [] : ['runs kept for ever']),
    ...(side.grantsOf('last').length === 1 ? [] : ['serves no more']),
  ];
};

const check = (decisions: Partial<SideDecisions>, numRuns: number) =>
  fc.check(
    fc.property(newActions(), (actions) => {
      const side = play(actions, decisions);
      return findFaults(side).length === 0 && findLeaks(side).length === 0;
    }),
    { seed: 5, numRuns },
  );

test('whatever the messages, a request is called once by its own grant, is never denied after, and room returns', () => {
  const { failed, counterexample } = check({}, 400);
  const faults = counterexample && [
    ...findFaults(play(counterexample[0], {})),
    ...findLeaks(play(counterexample[0], {})),
  ];
  expect({ failed, faults }).toEqual({ failed: false, faults: null });
});

test.each<readonly [string, Partial<SideDecisions>]>([
  ['a grant is usable by any request and after it is burnt', { isGrantUsable: () => true }],
  ['a doubled give calls again', { isAlreadyCalled: () => false }],
  ['a lease is never over', { isGrantLeaseHeld: () => true }],
  ['a used grant was never received', { fateOfUnknownGrant: () => 'neverReceived' }],
  ['there is never room', { hasRoom: () => false }],
])('the property catches the fault that %s', (_name, decisions) => {
  expect(check(decisions, 400).failed).toBe(true);
});
