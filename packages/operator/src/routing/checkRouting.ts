import { EitherAsync } from 'purify-ts';
import { getDifference } from '@parsleyhall/configuration';
import { routingDocumentSchema } from '@parsleyhall/daemon';
import type { CommandOutput } from '../commandLine/commandOutput.js';
import { formatTable } from '../commandLine/formatTable.js';
import type { OperatorEnvironment } from '../commandLine/operatorEnvironment.js';
import { formatDifference } from '../configuration/formatDifference.js';
import type { OperatorFailure } from '../failure/operatorFailure.js';
import { readDocument } from '../settings/readDocument.js';
import { findContradictoryLimits } from './findContradictoryLimits.js';
import { findUnreachableEntries } from './findUnreachableEntries.js';
import { findVersionFault } from './findVersionFault.js';
import { hideKeys } from './hideKeys.js';
import type { RoutingFinding } from './routingFinding.js';

const formatFindings = (findings: readonly RoutingFinding[]): string =>
  findings.length === 0
    ? 'No findings.'
    : formatTable({
        head: ['severity', 'rule', 'path', 'detail'],
        rows: findings.map(({ severity, rule, path, detail }) => [severity, rule, path, detail]),
      });

/** Checks a routing document as a whole, and shows how it differs from another one, usually the one in force. */
export const checkRouting = (
  environment: Pick<OperatorEnvironment, 'readFile'>,
  file: string,
  againstFile: string | undefined,
): EitherAsync<OperatorFailure, CommandOutput> =>
  EitherAsync(async (steps) => {
    const read = (path: string) =>
      steps.fromPromise(readDocument(environment, path, routingDocumentSchema));
    const document = await read(file);
    const against = againstFile === undefined ? undefined : await read(againstFile);
    const findings = [
      ...findVersionFault(document, against),
      ...findUnreachableEntries(document),
      ...findContradictoryLimits(document),
    ];
    const differences =
      against === undefined ? undefined : getDifference(hideKeys(against), hideKeys(document));
    const text = [
      formatFindings(findings),
      ...(differences === undefined ? [] : [formatDifference(differences)]),
    ].join('\n\n');
    if (findings.some(({ severity }) => severity === 'error')) {
      return steps.throwE({ type: 'faultyRouting', file, text, findings, differences });
    }
    return { text, json: { file, findings, differences } };
  });
