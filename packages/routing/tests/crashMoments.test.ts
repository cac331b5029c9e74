import { describe, expect, it } from 'vitest';
import { countCrashMoments } from '../src/quarantine/countCrashMoments.js';

const newCrash = (targetStart: string, atMs: number) => ({
  targetStart,
  atMs,
  parts: ['part'],
  isLocal: true,
  isConfirmed: true,
});

const OWN = [newCrash('a', 1_000), newCrash('b', 5_000), newCrash('c', 9_000)];
const BESIDE = OWN.flatMap(({ atMs }) =>
  ['x', 'y'].map((target) => newCrash(`${target}${atMs}`, atMs + 50)),
);

describe('the moments at which targets crashed', () => {
  it('count once for each crash, and once for crashes that are close together', () => {
    expect(countCrashMoments(OWN, OWN)).toBe(3);
    const close = [...OWN, newCrash('c', 9_400), newCrash('d', 9_200)];
    expect(countCrashMoments(close, close)).toBe(3);
  });

  it('count again for a target that crashes again', () => {
    const again = [newCrash('a', 1_000), newCrash('a', 4_000)];
    expect(countCrashMoments(again, again)).toBe(2);
  });

  // Guards against a verdict on a rare part that happened to be at one of several targets which crashed together.
  it('do not count where the part was at a few of the targets that crashed together', () => {
    expect(countCrashMoments(OWN, [...OWN, ...BESIDE])).toBe(0);
  });

  it('count beside a second part that crashes a target at about the same time', () => {
    const second = OWN.map(({ atMs }) => newCrash(`s${atMs}`, atMs + 100));
    expect(countCrashMoments(OWN, [...OWN, ...second])).toBe(3);
  });
});
