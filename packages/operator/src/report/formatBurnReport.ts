import { formatTable } from '../commandLine/formatTable.js';
import type { BurnReport } from './burnReport.js';
import { BURN_TABLE_COLUMNS } from './burnTableColumns.js';
import { getWorstRows } from './getWorstRows.js';
import { MAX_TEAM_ROWS } from './maxTeamRows.js';

const MS_PER_MINUTE = 60_000;

/** Formats the burn report for a terminal. */
export const formatBurnReport = (report: BurnReport): string =>
  [
    `until ${new Date(report.untilMs).toISOString()}; windows: ${report.shortWindowMs / MS_PER_MINUTE} and ${report.longWindowMs / MS_PER_MINUTE} minutes; preset in force: ${report.presetInForce ?? 'none'}`,
    formatTable({
      head: BURN_TABLE_COLUMNS.map(({ title }) => title),
      rows: [...report.tiers, ...getWorstRows(report.teams, MAX_TEAM_ROWS)].map((row) =>
        BURN_TABLE_COLUMNS.map(({ format }) => format(row)),
      ),
    }),
    ...(report.teams.length > MAX_TEAM_ROWS
      ? [`the ${MAX_TEAM_ROWS} worst of ${report.teams.length} rows by team; --json shows all`]
      : []),
  ].join('\n');
