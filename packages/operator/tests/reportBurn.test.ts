import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import { describe, expect, test } from 'vitest';
import { REPORT_STREAM, type ReportRecord, type ReportRow } from '@parsleyhall/clients';
import { createMemoryLog } from './createMemoryLog.js';
import { createTestOperator } from './createTestOperator.js';

const MINUTE_MS = 60_000;
const NOW_MS = 2_000 * MINUTE_MS;

const createPreset = (name: string, objective: number): object => ({
  name,
  tiers: [1, 2, 3, 4].map((tier) => ({ tier, objective, deadlineMs: 1_000 })),
  pricePerMillionPrefillTokens: name === 'peak' ? 10 : 2,
});

const document = {
  teams: [],
  pools: [],
  presets: [createPreset('ordinary', 0.9), createPreset('peak', 0.5)],
  initialPreset: 'ordinary',
};

const createHistogram = (valuesMs: readonly number[]): string => {
  const histogram = build({ autoResize: true, numberOfSignificantValueDigits: 2 });
  for (const valueMs of valuesMs) {
    histogram.recordValue(valueMs);
  }
  return encodeIntoCompressedBase64(histogram);
};

const createReportRow = (changes: Partial<ReportRow>): ReportRow => ({
  tier: 1,
  team: 'audits',
  sent: 0,
  inTime: 0,
  late: 0,
  notRunByReason: {},
  deadlineExceeded: 0,
  outcomeUnknown: 0,
  failed: 0,
  prefillTokens: 0,
  wastedPrefillTokensByCause: {},
  ...changes,
});

const createReportRecord = (
  minutesAgo: number,
  presetInForce: string,
  rows: readonly ReportRow[],
): ReportRecord => ({
  type: 'report',
  entry: 'entry-1',
  incarnation: 'a',
  dataCentre: 'maadi',
  fromMs: NOW_MS - (minutesAgo + 1) * MINUTE_MS,
  toMs: NOW_MS - minutesAgo * MINUTE_MS,
  configurationVersion: 1,
  presetInForce,
  rows,
});

const start = async (records: readonly ReportRecord[]) => {
  const log = createMemoryLog();
  const files = { 'document.json': document };
  const operator = createTestOperator({ log: log.client, name: 'hoda', files, nowMs: NOW_MS });
  await operator.run('configuration publish document.json');
  for (const record of records) {
    log.setNowMs(record.toMs);
    await log.client.append({ stream: REPORT_STREAM, records: [record] });
  }
  return operator;
};

describe('the burn report', () => {
  const early = createReportRecord(600, 'ordinary', [
    createReportRow({
      sent: 110,
      inTime: 95,
      late: 2,
      notRunByReason: { shed: 3, teamLimit: 10 },
      prefillTokens: 1_000_000,
      wastedPrefillTokensByCause: { late: 500_000 },
      firstTokenHistogram: createHistogram([100, 100, 100]),
    }),
  ]);
  const records = [
    createReportRecord(1_900, 'ordinary', [createReportRow({ sent: 1_000, failed: 1_000 })]),
    early,
    early,
    createReportRecord(30, 'peak', [
      createReportRow({
        sent: 100,
        inTime: 40,
        deadlineExceeded: 60,
        wastedPrefillTokensByCause: { late: 100_000 },
        firstTokenHistogram: createHistogram([90_000]),
      }),
      createReportRow({ tier: 4, team: 'tags', sent: 10, inTime: 10 }),
    ]),
  ];

  test('evaluates each record against its own preset and excludes duplicates, old records and team limits', async () => {
    const operator = await start(records);
    const report = await operator.runJson('report burn');
    expect(report).toMatchObject({ longWindowMs: 1_440 * MINUTE_MS, presetInForce: 'ordinary' });
    const { tiers, teams } = report as Record<'tiers' | 'teams', readonly object[]>;
    expect(teams).toHaveLength(2);
    expect(tiers[1]).toMatchObject({ tier: 4, achieved: 1, budgetLeft: 1, burnRateLong: 0 });
    const [first] = tiers as readonly Record<string, number>[];
    // 100 counted at an objective of 0.9 and 100 at 0.5: a budget of 10 and 50, with 5 and 60 misses.
    expect(first).toMatchObject({
      counted: 200,
      inTime: 135,
      notCounted: 10,
      notRun: 3,
      deadlineExceeded: 60,
      wastedPrefillTokens: 600_000,
      firstTokenP50Ms: 100,
    });
    expect(first?.objective).toBeCloseTo(0.7);
    expect(first?.achieved).toBeCloseTo(0.675);
    expect(first?.burnRateLong).toBeCloseTo(65 / 60);
    expect(first?.burnRateShort).toBeCloseTo(60 / 50);
    expect(first?.budgetLeft).toBeCloseTo(-5 / 60);
    expect(first?.wastedPrefillCost).toBeCloseTo(0.5 * 2 + 0.1 * 10);
    expect(first?.firstTokenP95Ms).toBeGreaterThan(89_000);
    expect((await operator.run('report burn')).output).toContain('67.50%');
  });

  test('writes a self-contained page with inline plots and escaped names', async () => {
    const operator = await start([
      createReportRecord(1, 'ordinary', [
        createReportRow({ team: '<b>', sent: 4, inTime: 3, failed: 1 }),
      ]),
    ]);
    const written = await operator.run('report burn --html burn.html');
    expect(written).toMatchObject({ exitCode: 0 });
    const page = operator.written.get('burn.html') ?? '';
    expect(page.match(/<svg/g)).toHaveLength(3);
    expect(page).toContain('&lt;b&gt;');
    expect(page).not.toContain('<b>');
    expect(page).not.toMatch(/(src|href)="(?!#)/);
    expect(page).toContain('Over its error budget: tier 1.');
  });

  test('shows only the worst of many team rows and says so', async () => {
    const rows = Array.from({ length: 60 }, (_, index) =>
      createReportRow({ team: `team-${index}`, sent: 100, inTime: 40 + index, failed: 60 - index }),
    );
    const operator = await start([createReportRecord(1, 'ordinary', rows)]);
    const { output } = await operator.run('report burn');
    expect(output).toContain('the 40 worst of 60 rows');
    expect(output).toContain('team-39 ');
    expect(output).not.toContain('team-40 ');
    expect(await operator.runJson('report burn')).toMatchObject({ teams: { length: 60 } });
  });

  test('fails without report records and on invalid windows', async () => {
    const operator = await start([]);
    expect(await operator.run('report burn')).toMatchObject({ exitCode: 1 });
    expect(await operator.run('report burn --short 90 --long 60')).toMatchObject({ exitCode: 2 });
  });
});
