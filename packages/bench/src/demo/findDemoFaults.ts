import type { CallOutcome } from '../load/callOutcome.js';
import type { RunRecord } from '../report/runRecord.js';
import type { RunReport } from '../report/runReport.js';

const UNWHOLE: readonly CallOutcome['result'][] = ['wrong', 'cut', 'silent', 'unknown', 'invalid'];

/** What went wrong in the demo, one line each; empty when every answer arrived whole. */
export const findDemoFaults = (demo: {
  readonly record: RunRecord;
  readonly report: RunReport;
  readonly bindings: readonly CallOutcome[];
  readonly bindingKey: string;
}): readonly string[] => {
  const { record, report, bindings, bindingKey } = demo;
  const unwhole = [...record.outcomes, ...bindings]
    .filter(({ result }) => UNWHOLE.includes(result))
    .map(
      ({ call, result, reason, status }) =>
        `${call.label} (${call.kind}): ${result} ${reason} ${status}`,
    );
  const checks = Object.entries({ ...report.checks })
    .filter(([, count]) => count > 0)
    .map(([name, count]) => `${name}: ${count}`);
  const bindingRuns = record.serviceRunsByKey[bindingKey] ?? 0;
  const binding = bindingRuns === 1 ? [] : [`the binding sent twice ran ${bindingRuns} times`];
  return [...unwhole, ...checks, ...binding];
};
