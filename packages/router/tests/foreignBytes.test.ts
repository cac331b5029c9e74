import { describe, expect, it } from 'vitest';
import { FOREIGN_KINDS } from './support/spoiltStreams/foreignKinds.js';
import { playSpoiltStream } from './support/spoiltStreams/playSpoiltStream.js';
import { SOUND_EVENTS } from './support/spoiltStreams/soundEvents.js';
import type { SpoiltStream } from './support/spoiltStreams/spoiltStream.js';
import type { StreamOutcome } from './support/spoiltStreams/streamOutcome.js';
import { toEvent } from './support/toEvent.js';

const WHOLE_STREAM = SOUND_EVENTS.map(toEvent).join('');
const EVENT_STREAM = 'text/event-stream';
const OTHER_MEDIA_TYPES = [undefined, 'text/plain', 'Text/Event-Stream; Charset=UTF-8'];
const FRAMINGS = ['chunks', 'oneWrite', 'cutInTwo', 'unframed'] as const;
/** Before the first event, in the middle, and behind the last. */
const PLACES = [0, 5, SOUND_EVENTS.length];
const PLAYS_AT_A_TIME = 8;

interface Play extends SpoiltStream {
  readonly kind: string;
  /** The caller may have received an event that no run made, in a response that doesn't end as a complete one. */
  readonly mayBreakBehind: boolean;
}

const FORMS: readonly Pick<SpoiltStream, 'framing' | 'contentType'>[] = [
  ...FRAMINGS.map((framing) => ({ framing, contentType: EVENT_STREAM })),
  ...OTHER_MEDIA_TYPES.map((contentType) => ({ framing: 'chunks' as const, contentType })),
];

const getPlays = (route: SpoiltStream['route'], isResetBehind: boolean): readonly Play[] =>
  FOREIGN_KINDS.flatMap(({ name, write, looksSound = false }) =>
    PLACES.flatMap((eventsBefore) => {
      // No sound event with the same number follows, so that nothing tells the two apart.
      const isTold = !looksSound || (!isResetBehind && eventsBefore < SOUND_EVENTS.length);
      return isTold
        ? FORMS.map((form) => ({
            ...form,
            route,
            kind: name,
            foreignBytes: write(eventsBefore + 1),
            eventsBefore,
            isResetBehind,
            mayBreakBehind: looksSound,
          }))
        : [];
    }),
  );

const isSound = ({ mayBreakBehind, eventsBefore }: Play, outcome: StreamOutcome): boolean => {
  if (outcome.isComplete) {
    return outcome.status === 200 ? outcome.body === WHOLE_STREAM : outcome.status === 502;
  }
  const soundPart = SOUND_EVENTS.slice(0, eventsBefore).map(toEvent).join('');
  return (
    WHOLE_STREAM.startsWith(outcome.body) || (mayBreakBehind && outcome.body.startsWith(soundPart))
  );
};

/** Plays all; returns those that a caller can't live with. */
const findUnsound = async (plays: readonly Play[]): Promise<readonly unknown[]> => {
  const unsound: unknown[] = [];
  const remaining = [...plays];
  const playNext = async (): Promise<void> => {
    for (let play = remaining.pop(); play !== undefined; play = remaining.pop()) {
      const outcome = await playSpoiltStream(play);
      if (!isSound(play, outcome)) {
        unsound.push({ ...play, ...outcome });
      }
    }
  };
  await Promise.all(Array.from({ length: PLAYS_AT_A_TIME }, playNext));
  return unsound;
};

describe('bytes that no run made, in any place, framing and media type', () => {
  // Guards against ORDER in users' runs: pieces that no run made in complete streams, and streams that ended too early.
  it.each([
    { route: 'stream', isResetBehind: false },
    { route: 'resumableStream', isResetBehind: false },
    { route: 'stream', isResetBehind: true },
    { route: 'resumableStream', isResetBehind: true },
  ] as const)(
    'are in no complete stream, and no complete stream misses an event ($route, reset behind them: $isResetBehind)',
    async ({ route, isResetBehind }) => {
      expect(await findUnsound(getPlays(route, isResetBehind))).toEqual([]);
    },
  );
});

describe('a sound stream', () => {
  const SOUND_STREAM = { foreignBytes: '', eventsBefore: 5, isResetBehind: false } as const;

  it.each(['stream', 'resumableStream'] as const)(
    'is relayed whole in any framing and media type (%s)',
    async (route) => {
      for (const form of FORMS) {
        const outcome = await playSpoiltStream({ ...SOUND_STREAM, ...form, route });
        expect({ form, ...outcome }).toMatchObject({
          form,
          isComplete: true,
          body: WHOLE_STREAM,
          sends: 1,
        });
      }
    },
  );
});

describe('an event that looks sound, read together with other foreign bytes', () => {
  // Guards against ORDER: it was relayed though the rest of what was read showed that its target sends garbage.
  it('is not relayed; another target goes on before it', async () => {
    const outcome = await playSpoiltStream({
      route: 'resumableStream',
      foreignBytes: 'id: 6\ndata: foreign\n\ngarbage\n\n',
      eventsBefore: 5,
      framing: 'chunks',
      contentType: EVENT_STREAM,
      isResetBehind: false,
    });
    expect(outcome).toMatchObject({ isComplete: true, body: WHOLE_STREAM, sends: 2 });
  });
});

describe('an event with the number of a sound one', () => {
  const MADE_UP = {
    route: 'resumableStream',
    foreignBytes: 'id: 6\ndata: foreign\n\n',
    eventsBefore: 5,
    contentType: EVENT_STREAM,
    isResetBehind: false,
  } as const;

  // Guards against ORDER: the second target went on behind an event that no run had made.
  it('ends the response visibly once one of the two has been relayed, since nothing can go on behind it', async () => {
    const outcome = await playSpoiltStream({ ...MADE_UP, framing: 'chunks' });
    expect(outcome).toMatchObject({ status: 200, isComplete: false, sends: 1 });
  });

  // Guards against ORDER: an event was relayed though the bytes at hand showed that it might be made up.
  it('is not relayed, nor the sound one, if both are read at once; another target goes on before them', async () => {
    const outcome = await playSpoiltStream({ ...MADE_UP, framing: 'oneWrite' });
    expect(outcome).toMatchObject({ isComplete: true, body: WHOLE_STREAM, sends: 2 });
  });
});
