import { formatTable } from '../commandLine/formatTable.js';
import type { BurnReport } from './burnReport.js';
import { BURN_TABLE } from './burnTable.js';
import { getWorstRows } from './getWorstRows.js';
import { ROWS_SHOWN } from './rowsShown.js';

const MS_PER_MINUTE = 60_000;

/** Lays the burn report out for a terminal. */
export const formatBurnReport = (report: BurnReport): string =>
  [
    `until ${new Date(report.untilMs).toISOString()}; windows: ${report.shortWindowMs / MS_PER_MINUTE} and ${report.longWindowMs / MS_PER_MINUTE} minutes; preset in force: ${report.presetInForce ?? 'none'}`,
    formatTable({
      head: BURN_TABLE.map(({ title }) => title),
      rows: [...report.tiers, ...getWorstRows(report.teams, ROWS_SHOWN)].map((row) =>
        BURN_TABLE.map(({ format }) => format(row)),
      ),
    }),
    ...(report.teams.length > ROWS_SHOWN
      ? [`the ${ROWS_SHOWN} worst of ${report.teams.length} rows by team; all by --json`]
      : []),
  ].join('\n');
