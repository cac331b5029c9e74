import { readFileSync } from 'node:fs';
import { format, resolveConfig } from 'prettier';
import { expect, test } from 'vitest';
import { createBoundedOutput, createLogger, renderLogReference } from '../src/index.js';
import { openStalledPipe } from './support/openStalledPipe.js';
import { startRawTarget } from './support/startRawTarget.js';
import { startTestRouter } from './support/startTestRouter.js';

const MEBIBYTE = 1_048_576;
const SECOND_MS = 1_000;
const NAMES = { process: 'router', host: 'self', dataCentre: 'here', level: 'info' } as const;

interface Line {
  readonly event?: string;
  readonly lines?: number;
  readonly host?: string;
}

const parseLines = (text: string): readonly Line[] =>
  text
    .split('\n')
    .slice(0, -1)
    .map((line) => JSON.parse(line) as Line);

test('a stalled reader costs bounded memory, and the number of dropped lines is logged', async () => {
  await using pipe = await openStalledPipe();
  let nowMs = 0;
  const output = createBoundedOutput(pipe.descriptor, () => nowMs);
  const lines = createLogger({ ...NAMES, output });
  const fault = 'x'.repeat(1_000);
  const count = 20_000;
  for (let index = 0; index < count; index += 1) {
    lines.write({ name: 'memoryMalformed', fields: { fault } });
  }
  const reading = pipe.readUntil('"settingsApplied"');
  await pipe.readUntil('"memoryMalformed"');
  nowMs += SECOND_MS;
  lines.write({ name: 'settingsApplied', fields: { cause: 'signal' } });
  const parsedLines = parseLines(await reading);
  const writtenCount = parsedLines.filter(({ event }) => event === 'memoryMalformed').length;
  const dropReport = parsedLines.find(({ event }) => event === 'linesLeftOut');
  expect(writtenCount * fault.length).toBeLessThan(2 * MEBIBYTE);
  expect(writtenCount + (dropReport?.lines ?? 0)).toBe(count);
  expect(dropReport?.host).toBe('self');
});

test('events of the process are still written when there is no room for decisions', () => {
  const written: string[] = [];
  const lines = createLogger({
    ...NAMES,
    output: {
      write: () => undefined,
      writePriority: (line) => written.push(line),
      setDropReporter: () => undefined,
      [Symbol.asyncDispose]: () => Promise.resolve(),
    },
  });
  lines.writeDecision({ type: 'observe', name: 'clockJumped', fields: { jumpMs: 1 } });
  lines.write({ name: 'storeRegained', fields: { topic: 't' } });
  expect(parseLines(written.join(''))).toMatchObject([{ event: 'storeRegained', host: 'self' }]);
});

test('events below the level are not written, and each line names its process', () => {
  const written: string[] = [];
  const writeLine = (line: string): void => {
    written.push(line);
  };
  const lines = createLogger({
    ...NAMES,
    process: 'router-7',
    level: 'warn',
    output: {
      write: writeLine,
      writePriority: writeLine,
      setDropReporter: () => undefined,
      [Symbol.asyncDispose]: () => Promise.resolve(),
    },
  });
  lines.writeDecision({ type: 'observe', name: 'clockJumped', fields: { jumpMs: 1 } });
  lines.write({ name: 'started', fields: { address: 'a' } });
  lines.write({ name: 'memoryMalformed', fields: { fault: 'f' } });
  expect(parseLines(written.join(''))).toMatchObject([
    { event: 'memoryMalformed', process: 'router-7' },
  ]);
});

test('callers are served while nobody reads the log', async () => {
  await using pipe = await openStalledPipe();
  const lines = createLogger({ ...NAMES, output: createBoundedOutput(pipe.descriptor) });
  const fault = 'x'.repeat(1_000);
  await using target = await startRawTarget();
  await using router = await startTestRouter([target], { logger: lines });
  for (let turn = 0; turn < 20; turn += 1) {
    for (let index = 0; index < 500; index += 1) {
      lines.write({ name: 'memoryMalformed', fields: { fault } });
    }
    const answer = fetch(`http://${router.callersAddress}/nonIdempotent/x`, {
      headers: { attempt: 'a1', connection: 'close' },
    });
    const { socket } = await target.nextRequest();
    socket.write('HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok');
    expect((await answer).status).toBe(200);
  }
});

test('docs/LINES.md is up to date with the event definitions', async () => {
  const file = new URL('../../../docs/LINES.md', import.meta.url);
  const options = await resolveConfig(file.pathname);
  const current = await format(renderLogReference(), { ...options, filepath: 'LINES.md' });
  expect(readFileSync(file, 'utf8')).toBe(current);
});

test('the metrics report remaining quotas and retries and the age of the data', async () => {
  await using target = await startRawTarget();
  await using router = await startTestRouter([target]);
  const answer = await fetch(`http://${router.metricsAddress}/metrics`);
  const text = await answer.text();
  const read = (name: string): number =>
    Number(new RegExp(`^parsleyhall_${name} (.*)$`, 'm').exec(text)?.[1] ?? NaN);
  expect(read('targets_listed')).toBe(1);
  expect(read('targets_age_ms')).toBe(-1);
  expect(read('quota_least_left_share')).toBe(1);
  expect(read('teams_without_quota_left')).toBe(0);
  expect(read('repeats_least_left')).toBe(50);
});
