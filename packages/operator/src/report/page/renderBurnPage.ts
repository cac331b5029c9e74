import type { BurnReport } from '../burnReport.js';
import type { BurnRow } from '../burnRow.js';
import { BURN_TABLE_COLUMNS } from '../burnTableColumns.js';
import { formatBurnValue } from '../formatBurnValue.js';
import { getWorstRows } from '../getWorstRows.js';
import { MAX_TEAM_ROWS } from '../maxTeamRows.js';
import { escapeHtml } from './escapeHtml.js';
import { getBurnPlots } from './getBurnPlots.js';
import { PAGE_STYLE } from './pageStyle.js';
import { renderPlot } from './renderPlot.js';

const renderTable = (rows: readonly BurnRow[]): string => {
  const head = BURN_TABLE_COLUMNS.map(({ title }) => `<th>${escapeHtml(title)}</th>`).join('');
  const body = rows
    .map((row) =>
      BURN_TABLE_COLUMNS.map(({ format }) => `<td>${escapeHtml(format(row))}</td>`).join(''),
    )
    .map((cells) => `<tr>${cells}</tr>`)
    .join('\n');
  return `<table><thead><tr>${head}</tr></thead><tbody>\n${body}\n</tbody></table>`;
};

const renderSummary = ({ tiers }: BurnReport): string => {
  const overspent = tiers.filter(({ budgetLeft }) => (budgetLeft ?? -1) < 0);
  const wasted = tiers.reduce((total, row) => total + row.wastedPrefillTokens, 0);
  const wastedCost = tiers.reduce((total, row) => total + row.wastedPrefillCost, 0);
  const state =
    overspent.length === 0
      ? 'Every tier is within its error budget.'
      : `Over its error budget: tier ${overspent.map(({ tier }) => tier).join(', ')}.`;
  const { count, cost } = formatBurnValue;
  return `${state} Wasted prefill: ${count(wasted)} tokens, ${cost(wastedCost)} at the presets' prices.`;
};

const renderPlots = async (report: BurnReport): Promise<string> => {
  const figures: string[] = [];
  for (const { title, note, specification } of getBurnPlots(report)) {
    const plot = await renderPlot(specification);
    figures.push(
      `<figure><h2>${escapeHtml(title)}</h2>${plot}<figcaption>${escapeHtml(note)}</figcaption></figure>`,
    );
  }
  return figures.join('\n');
};

const renderTeamNote = ({ teams }: BurnReport): string =>
  teams.length > MAX_TEAM_ROWS
    ? `<p>The ${MAX_TEAM_ROWS} rows with the most misses, of ${teams.length}.</p>`
    : '';

const formatTime = (atMs: number): string => new Date(atMs).toISOString().replace('.000Z', 'Z');

/** Renders the burn report as a self-contained HTML page, for screen and print. */
export const renderBurnPage = async (report: BurnReport): Promise<string> => {
  const { untilMs, longWindowMs, shortWindowMs, presetInForce } = report;
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>Service-level burn</title>
<style>${PAGE_STYLE}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p class="summary">${escapeHtml(renderSummary(report))}</p>
<p>From ${formatTime(untilMs - longWindowMs)} to ${formatTime(untilMs)} (long window); short window from ${formatTime(untilMs - shortWindowMs)}. Preset in force: ${escapeHtml(presetInForce ?? 'none')}.</p>
<h2>By tier</h2>
${renderTable(report.tiers)}
${await renderPlots(report)}
<h2>By tier and team</h2>
${renderTeamNote(report)}
${renderTable(getWorstRows(report.teams, MAX_TEAM_ROWS))}
</body>
</html>
`;
};
