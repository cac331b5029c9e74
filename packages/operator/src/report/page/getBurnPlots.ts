import type { TopLevelSpec } from 'vega-lite';
import type { BurnReport } from '../burnReport.js';

const PLOT_WIDTH_PX = 600;
const PLOT_HEIGHT_PX = 180;
const AXIS_TICK_COUNT = 6;
const TIER_COLOURS = ['#1b4f72', '#2e86c1', '#af7a14', '#8d8d8d'];

interface BurnPlot {
  readonly title: string;
  /** Caption that explains how to read the plot. */
  readonly note: string;
  readonly specification: TopLevelSpec;
}

const SHARED_SPECIFICATION = {
  width: PLOT_WIDTH_PX,
  height: PLOT_HEIGHT_PX,
  background: 'white',
  config: { font: 'Helvetica, Arial, sans-serif', axis: { labelFontSize: 11, titleFontSize: 11 } },
} as const;

const tierColourEncoding = {
  field: 'tier',
  type: 'ordinal',
  title: 'Tier',
  scale: { domain: [1, 2, 3, 4], range: TIER_COLOURS },
} as const;

const getAchievedPlot = (report: BurnReport): BurnPlot => ({
  title: 'Answered completely and in time',
  note: 'Share of the requests of each tier over the long window. Gaps are times without requests.',
  specification: {
    ...SHARED_SPECIFICATION,
    data: {
      values: report.timeline.map(({ atMs, tier, achieved }) => ({ atMs, tier, achieved })),
    },
    mark: { type: 'line', point: { size: 16 } },
    encoding: {
      x: {
        field: 'atMs',
        type: 'temporal',
        title: 'Time (UTC)',
        scale: { type: 'utc' },
        axis: { tickCount: AXIS_TICK_COUNT, format: '%d %b %H:%M' },
      },
      y: {
        field: 'achieved',
        type: 'quantitative',
        title: 'In time',
        axis: { format: '.0%' },
        scale: { domain: [0, 1] },
      },
      color: tierColourEncoding,
    },
  },
});

const getBurnPlot = (report: BurnReport): BurnPlot => ({
  title: 'Burn rate of the error budget',
  note: 'At 1, the dashed line, the budget lasts exactly for the window. Act when both windows are above it.',
  specification: {
    ...SHARED_SPECIFICATION,
    layer: [
      {
        data: {
          values: report.tiers.flatMap(({ tier, burnRateShort, burnRateLong }) => [
            { tier: `tier ${tier}`, window: 'short', burn: burnRateShort ?? null },
            { tier: `tier ${tier}`, window: 'long', burn: burnRateLong ?? null },
          ]),
        },
        mark: 'bar',
        encoding: {
          x: { field: 'tier', type: 'nominal', title: null, axis: { labelAngle: 0 } },
          xOffset: { field: 'window', type: 'nominal', sort: ['short', 'long'] },
          y: { field: 'burn', type: 'quantitative', title: 'Burn rate' },
          color: {
            field: 'window',
            type: 'nominal',
            title: 'Window',
            scale: { domain: ['short', 'long'], range: ['#af7a14', '#1b4f72'] },
          },
        },
      },
      {
        data: { values: [{ budget: 1 }] },
        mark: { type: 'rule', strokeDash: [4, 3], color: '#922b21' },
        encoding: { y: { field: 'budget', type: 'quantitative' } },
      },
    ],
  },
});

const getWastePlot = (report: BurnReport): BurnPlot => ({
  title: 'Wasted prefill by cause',
  note: 'Prompt tokens computed for responses that reached no caller in time, over the long window.',
  specification: {
    ...SHARED_SPECIFICATION,
    data: {
      values: report.tiers.flatMap(({ tier, wastedPrefillTokensByCause }) =>
        Object.entries(wastedPrefillTokensByCause).map(([cause, tokens]) => ({
          tier,
          cause,
          tokens,
        })),
      ),
    },
    mark: 'bar',
    encoding: {
      x: {
        field: 'tokens',
        type: 'quantitative',
        title: 'Tokens',
        axis: { tickCount: AXIS_TICK_COUNT },
      },
      y: { field: 'cause', type: 'nominal', title: null },
      color: tierColourEncoding,
    },
  },
});

/** Creates the plots of the burn report's page, in order. */
export const getBurnPlots = (report: BurnReport): readonly BurnPlot[] => [
  getAchievedPlot(report),
  getBurnPlot(report),
  getWastePlot(report),
];
