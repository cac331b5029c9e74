import { EitherAsync } from 'purify-ts';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import type { OperatorSession } from '../commandLine/operatorSession.js';
import { readConfiguration } from '../configuration/readConfiguration.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import type { BurnReport } from './burnReport.js';
import { computeBurnReport } from './computeBurnReport.js';
import { formatBurnReport } from './formatBurnReport.js';
import { getBurnSamples } from './getBurnSamples.js';
import { readReportRecords } from './readReportRecords.js';

const writePage = ({ environment }: OperatorSession, file: string, report: BurnReport) =>
  EitherAsync<OperatorFailure, undefined>(async (steps) => {
    // Loaded on demand, because the plotting library is large and other commands do not need it.
    const { renderBurnPage } = await import('./page/renderBurnPage.js');
    await steps.fromPromise(environment.writeFile(file, await renderBurnPage(report)));
  });

/** Reports the results of tiers and teams against their objectives, and the cost of wasted prefill. */
export const reportBurn = (
  session: OperatorSession,
  {
    longWindowMs,
    shortWindowMs,
    htmlFile,
  }: {
    readonly longWindowMs: number;
    readonly shortWindowMs: number;
    readonly htmlFile: string | undefined;
  },
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const { environment, log } = session;
    const untilMs = environment.getNowMs();
    const { state, document } = await steps.fromPromise(readConfiguration(log));
    const records = await steps.fromPromise(readReportRecords(log, untilMs - longWindowMs));
    const samples = getBurnSamples(records, document, state.presetInForce);
    const report = computeBurnReport(samples, state.presetInForce, {
      untilMs,
      longWindowMs,
      shortWindowMs,
    });
    if (report.tiers.length === 0) {
      return steps.throwE({
        type: 'noReport',
        detail: 'no entry has reported a request in the long window',
      });
    }
    if (htmlFile !== undefined) {
      await steps.fromPromise(writePage(session, htmlFile, report));
    }
    return { text: formatBurnReport(report), json: report };
  });
