import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { describe, expect, it } from 'vitest';
import { createEvents } from '../src/history/createEvents.js';
import { planResponse } from '../src/system/planResponse.js';

const EVENTS = createEvents('r1');
const PLANS = 1_000;

type Options = Parameters<typeof planResponse>[0];

const generator = xoroshiro128plus(7);

const plan = (changes: Partial<Options>): ReturnType<typeof planResponse> =>
  planResponse({
    id: 'r1',
    kind: 'resumableStream',
    lastEventId: 0,
    isCut: false,
    fault: undefined,
    plantedFault: undefined,
    random: () => uniformFloat64(generator),
    ...changes,
  });

const planMany = (changes: Partial<Options>): readonly ReturnType<typeof planResponse>[] =>
  Array.from({ length: PLANS }, () => plan(changes));

describe('planResponse', () => {
  it('resumes a stream behind the last event that its caller has', () => {
    expect(plan({ lastEventId: 4 }).response.chunks).toEqual(EVENTS.slice(4));
    expect(plan({ lastEventId: 6 }).response.chunks).toEqual([]);
  });

  it('puts garbage before the first, in the middle and behind the last event, in each framing and media type', () => {
    const plans = planMany({ fault: 'garbage' }).map(({ response }) => response);
    const starts = [0, 3, 6].map((count) => EVENTS.slice(0, count).join(''));
    for (const end of ['complete', 'reset'] as const) {
      for (const start of starts) {
        const ofPlace = plans.filter(({ chunks }) => {
          const body = chunks.join('');
          const rest = body.slice(start.length);
          return (
            body.startsWith(start) && rest !== '' && !EVENTS.some((event) => rest.startsWith(event))
          );
        });
        const ofEnd = ofPlace.filter((response) => response.end === end);
        expect(new Set(ofEnd.map(({ contentType }) => contentType)).size).toBe(4);
        const framings = ofEnd.map(({ isFramed, intervalMs }) => `${isFramed} ${intervalMs > 0}`);
        expect(new Set(framings)).toEqual(new Set(['true true', 'true false', 'false true']));
        const atOnce = ofEnd.filter(({ intervalMs }) => intervalMs === 0);
        expect(atOnce.every(({ chunks }) => chunks.length === 1)).toBe(true);
      }
    }
    expect(
      planMany({ fault: 'garbage' }).every((each) => each.bodyWithLookAlike === undefined),
    ).toBe(true);
  });

  it('begins a stream that needs no numbers with nothing that its first event may look like', () => {
    for (const { response } of planMany({ kind: 'stream', fault: 'garbage' })) {
      expect(response.chunks[0]).not.toMatch(/^(?:data: garbage|id: garbage|id: 9)/);
      expect(response.contentType).toMatch(/^text\/event-stream/i);
    }
  });

  it.each(['stream', 'resumableStream'] as const)(
    'sends an event that looks like the next one only before that, without a pause, and records it (%s)',
    (kind) => {
      for (const lastEventId of kind === 'stream' ? [0] : [0, 3, 5]) {
        for (const each of planMany({ kind, lastEventId, fault: 'lookAlike' })) {
          const { chunks, intervalMs, end } = each.response;
          const at = chunks.findIndex((chunk) => chunk.includes('garbage'));
          const number = lastEventId + at + 1;
          expect(chunks.slice(at)).toEqual([
            `id: ${number}\ndata: garbage\n\n`,
            ...EVENTS.slice(number - 1),
          ]);
          expect({ intervalMs, end }).toEqual({ intervalMs: 0, end: 'complete' });
          const before = EVENTS.slice(0, number - 1).join('');
          expect(each.bodyWithLookAlike).toBe(before + (chunks[at] ?? ''));
          expect(number).toBeLessThanOrEqual(EVENTS.length);
        }
      }
      expect(plan({ lastEventId: 6, fault: 'lookAlike' }).response.chunks).toEqual([]);
    },
  );
});
