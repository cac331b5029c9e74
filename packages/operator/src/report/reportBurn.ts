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

const writePage = ({ world }: OperatorSession, file: string, report: BurnReport) =>
  EitherAsync<OperatorFailure, undefined>(async (steps) => {
    // The plotting library is large; other commands start without it.
    const { renderBurnPage } = await import('./page/renderBurnPage.js');
    await steps.fromPromise(world.writeFile(file, await renderBurnPage(report)));
  });

/** Reports how the tiers and teams stand against their objectives, and what wasted prefill cost. */
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
    const { world, log } = session;
    const untilMs = world.getNowMs();
    const { state, document } = await steps.fromPromise(readConfiguration(log));
    const records = await steps.fromPromise(readReportRecords(log, untilMs - longWindowMs));
    const samples = getBurnSamples(records, document, state.presetInForce);
    const report = computeBurnReport(samples, state.presetInForce, {
      untilMs,
      longWindowMs,
      shortWindowMs,
    });
    if (report.tiers.length === 0) {
      return steps.throwE({ type: 'noReport', detail: 'no entry has told of a request since' });
    }
    if (htmlFile !== undefined) {
      await steps.fromPromise(writePage(session, htmlFile, report));
    }
    return { text: formatBurnReport(report), json: report };
  });
