import { expect, test } from 'vitest';
import { createMemoryLog } from './createMemoryLog.js';
import { createTestOperator } from './createTestOperator.js';

type Fields = Readonly<Record<string, unknown>>;

const START_MS = Date.parse('2026-12-04T04:00:00.000Z');

const createLogLine = (host: string, afterMs: number, event: string, fields: Fields): string =>
  JSON.stringify({
    name: 'parsleyhalld',
    process: 'router',
    host,
    event,
    ...fields,
    time: new Date(START_MS + afterMs).toISOString(),
  });

const explain = async (
  line: string,
  logs: Readonly<Record<string, readonly string[]>>,
): Promise<{ readonly exitCode: number; readonly output: string; readonly errors: string }> => {
  const texts = Object.fromEntries(
    Object.entries(logs).map(([file, lines]) => [file, lines.join('\n')]),
  );
  const { '-': input = '', ...files } = texts;
  const log = createMemoryLog().client;
  return createTestOperator({ log, name: 'hoda', logs: files, input }).run(line);
};

const refused = (fields: Fields): string =>
  createLogLine('front-1', 5, 'requestRefused', {
    requestId: 7,
    attemptId: 'a7',
    status: 503,
    mayHaveRun: false,
    version: 3,
    ...fields,
  });

test.each([
  [
    { reason: 'overloaded', service: 'pool', waitMs: 4_100, ageMs: 0, leftMs: 3_000 },
    'its turn was predicted in 4100 ms',
  ],
  [
    { reason: 'overloaded', service: 'pool', waitMs: -1, ageMs: 0, leftMs: 3_000 },
    'more urgent work was taking every slot',
  ],
  [
    { reason: 'quotaExceeded', status: 429, team: 'red', perSecond: 10, burst: 5, cost: 9 },
    'team red had used up its quota of 10 a second with a burst of 5; the request cost 9',
  ],
  [
    { reason: 'configurationUnconfirmed', configurationAgeMs: 6_000 },
    'last confirmed 6000 ms before',
  ],
  [{ reason: 'unknownKey', status: 401 }, 'version 3 of the configuration has no such key'],
  [
    { reason: 'keyChanged', team: 'red' },
    'withdrew its key from team red, or gave it to another one, while it waited',
  ],
  [{ reason: 'noRoute', status: 404, callerHost: 'a.example' }, 'matches the host a.example'],
  [
    { reason: 'promptQuarantined', status: 503, promptParts: '5c1e07a2' },
    'requests with the prompt parts 5c1e07a2 had crashed targets',
  ],
  [{ reason: 'noTarget', service: 'pool' }, 'no target of pool'],
])('the cause of a refusal comes from the line that refused: %j', async (fields, cause) => {
  const run = await explain('explain a7 front-1.log', { 'front-1.log': [refused(fields)] });
  expect(run.exitCode).toBe(0);
  const [outcome = '', second = ''] = run.output.split('\n');
  expect(outcome).toMatch(/^a7: answered \d+ by the entry; it has not run and will not$/);
  expect(second).toMatch(/^cause: /);
  expect(second).toContain(cause);
});

const cutAt = (alikeHosts: readonly string[]): Readonly<Record<string, readonly string[]>> => {
  const failure = { target: 't1', failure: 'broken', afterMs: 900, sendId: 1 };
  return {
    'front-1.log': [
      createLogLine('front-1', 0, 'requestSent', { requestId: 7, attemptId: 'a7', target: 't1' }),
      createLogLine('front-1', 900, 'sendFailed', { requestId: 7, attemptId: 'a7', ...failure }),
      createLogLine('front-1', 901, 'targetRests', { target: 't1', restMs: 800 }),
      createLogLine('front-1', 901, 'targetRests', { target: 't2', restMs: 800 }),
      createLogLine('front-1', 901, 'requestBrokenOff', {
        requestId: 7,
        attemptId: 'a7',
        reason: 'outcomeUnknown',
        status: 502,
        mayHaveRun: true,
      }),
    ],
    'others.log': alikeHosts.map((host, index) =>
      createLogLine(host, 950, 'sendFailed', {
        requestId: 100 + index,
        attemptId: `b${index}`,
        ...failure,
      }),
    ),
  };
};

test('a response that was cut off is attributed to the target or the network path by failures on other entries', async () => {
  const line = 'explain a7 front-1.log others.log';
  const ofTarget = await explain(line, cutAt(['front-2', 'front-3']));
  expect(ofTarget.output).toContain('a7: cut off after its response had begun; it may have run');
  expect(ofTarget.output).toContain(
    'target t1 closed or lost the connection 900 ms after the send',
  );
  expect(ofTarget.output).toContain('on 2 hosts: the target is at fault');
  expect(ofTarget.output).toContain('restMs=800');
  expect(ofTarget.output).not.toContain('target=t2');
  const ofPath = await explain(line, cutAt(['front-1', 'front-1']));
  expect(ofPath.output).toContain(
    'all on front-1: the target or the network path from there is at fault',
  );
});

test('the explanation of a late response says where the time was spent', async () => {
  const answered = (fields: Fields): string =>
    createLogLine('front-1', 50, 'requestAnswered', {
      requestId: 7,
      attemptId: 'a7',
      target: 't1',
      ...fields,
    });
  const causeOf = async (fields: Fields): Promise<string> =>
    (await explain('explain a7 x.log', { 'x.log': [answered(fields)] })).output;
  expect(await causeOf({ sends: 1, waitedMs: 900, firstMs: 950, ageMs: 2_000 })).toContain(
    'it waited 900 ms for a slot',
  );
  expect(await causeOf({ sends: 2, waitedMs: 900, firstMs: 950, ageMs: 2_000 })).toContain(
    '900 ms went by before send 2',
  );
  expect(await causeOf({ sends: 1, waitedMs: 1, firstMs: 2, targetStatus: 500 })).toContain(
    'a7: target t1 answered 500',
  );
  expect(await causeOf({ sends: 1, waitedMs: 10, firstMs: 950, ageMs: 2_000 })).toContain(
    '940 ms until the first event spent at target t1',
  );
});

test('a caller that hung up is distinguished from one whose deadline passed', async () => {
  const gone = (leftMs: number): string =>
    createLogLine('front-1', 0, 'callerGone', {
      attemptId: 'a7',
      ageMs: 900,
      leftMs,
      target: 't1',
    });
  const causeOf = async (leftMs: number): Promise<string> =>
    (await explain('explain a7 x.log', { 'x.log': [gone(leftMs)] })).output;
  expect(await causeOf(4)).toContain('its deadline passed while target t1 was processing it');
  expect(await causeOf(4_000)).toContain('the caller hung up while target t1 was processing it');
});

test('a request that was dropped unread is distinguished from a refused one', async () => {
  const line = createLogLine('front-1', 0, 'callTurnedAway', {
    attemptId: 'a7',
    reason: 'callerGone',
  });
  const { output } = await explain('explain a7 x.log', { 'x.log': [line] });
  expect(output).toContain('a7: dropped without a response; it has not run and will not');
  expect(output).toContain('cause: its caller had disconnected before the entry');
});

test('a request without a final line is attributed to the end of its process', async () => {
  const { output } = await explain('explain front-1/7', {
    '-': [
      createLogLine('front-1', 0, 'requestSent', { requestId: 7, target: 't1' }),
      createLogLine('front-1', 3_000, 'started', { address: '10.0.0.1:1' }),
      createLogLine('front-2', 0, 'requestSent', { requestId: 7, target: 't1' }),
    ],
  });
  expect(output).toContain('front-1/7: no process logged how it ended');
  expect(output).toContain('front-1 started again at 2026-12-04T04:00:03.000Z');
  expect(output).not.toContain('front-2');
});

test('lines are grouped by process, each with times by its own clock', async () => {
  const { output } = await explain('explain r1 side.log entry.log', {
    'side.log': [
      JSON.stringify({ event: 'runEnded', host: 'h2', process: 'side-1', requestId: 'r1' }),
    ],
    'entry.log': [
      createLogLine('h1', -9_000, 'requestEnded', {
        process: 'entry-1',
        requestId: 'r1',
        outcome: 'notRun',
        reason: 'shed',
        totalMs: 12,
      }),
    ],
  });
  expect(output).toContain('r1: notRun after 12 ms');
  expect(output.indexOf('h1, entry-1')).toBeLessThan(output.indexOf('h2, side-1'));
});

test('a prefix from a log collector is ignored, and lines that cannot be parsed are counted', async () => {
  const run = await explain('explain a7', {
    '-': [`  3.25 front-1 ${refused({ reason: 'noConfiguration' })}`, '{"event":', 'no line', '{}'],
  });
  expect(run.output).toContain('had no configuration yet');
  expect(run.output).toContain('2 lines could not be read');
});

test('an unknown id and a missing file are reported', async () => {
  const unknown = await explain('explain a8 x.log', { 'x.log': [refused({ reason: 'noTarget' })] });
  expect(unknown.exitCode).toBe(1);
  expect(unknown.errors).toContain('None of 1 lines is about a8');
  const missing = await explain('explain a8 y.log', {});
  expect(missing.exitCode).toBe(1);
  expect(missing.errors).toContain('Cannot read y.log');
});
