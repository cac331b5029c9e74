import { assertNever } from '@parsleyhall/common';
import type { ConfigurationVerdict } from '@parsleyhall/configuration';
import type { LogFailure } from '@parsleyhall/clients';
import { formatTable } from '../commandLine/formatTable.js';
import type { OperatorFailure } from './operatorFailure.js';

const formatPlatformFailure = (service: string, failure: LogFailure): string => {
  switch (failure.type) {
    case 'unavailable':
      return `The ${service} cannot be reached: ${failure.detail}. Nothing was changed; try again later.`;
    case 'rateLimited':
      return `The ${service} refused the request because of its rate limit. Nothing was changed; try again in ${failure.retryAfterMs} ms.`;
    case 'outcomeUnknown':
      return `The response of the ${service} was lost: ${failure.detail}.`;
    case 'trimmed':
      return `The ${service} only keeps records from offset ${failure.earliestOffset} on.`;
    case 'malformed':
      return `The ${service} sent a response that violates its protocol: ${failure.detail}.`;
    case 'aborted':
      return `The request to the ${service} was aborted.`;
    default:
      return assertNever(failure);
  }
};

const formatVerdict = (verdict: ConfigurationVerdict): string => {
  switch (verdict.type) {
    case 'unknownPreset':
      return `There is no preset ${verdict.preset}. Presets: ${verdict.knownPresets.join(', ')}.`;
    case 'presetInForceMissing':
      return `The document lacks the preset in force, ${verdict.preset}. Keep it, or put another in force first with: parsleyhall preset use NAME.`;
    case 'noDocument':
      return 'Nothing is published yet. Publish a document with: parsleyhall configuration publish FILE.';
    case 'invalidRecord':
      return `The record is not valid:\n${formatFaults(verdict.faults)}`;
    case 'staleBase':
      return `The change was based on version ${verdict.base}; the current one is ${verdict.currentVersion}.`;
    case 'repeated':
    case 'checkpointRead':
    case 'accepted':
      return `Unexpected verdict on the change: ${verdict.type}.`;
    default:
      return assertNever(verdict);
  }
};

const formatFaults = (
  faults: readonly { readonly path: string; readonly found: string; readonly allowed: string }[],
): string =>
  formatTable({
    head: ['path', 'found', 'allowed'],
    rows: faults.map(({ path, found, allowed }) => [path, found, allowed]),
  });

/** Formats a failure for the operator: what happened, and what to do. */
export const formatFailure = (failure: OperatorFailure): string => {
  switch (failure.type) {
    case 'badUse':
      return failure.detail;
    case 'fileUnreadable':
      return `Cannot read ${failure.file}: ${failure.detail}.`;
    case 'fileUnwritable':
      return `Cannot write ${failure.file}: ${failure.detail}.`;
    case 'notJson':
      return `${failure.file} is not valid JSON: ${failure.detail}.`;
    case 'faultyDocument':
      return `${failure.file}: ${failure.faults.length} faults\n${formatFaults(failure.faults)}`;
    case 'faultyRouting':
      return `${failure.file} has errors.\n${failure.text}`;
    case 'unknownDocument':
      return `${failure.file} is not recognised as any of: ${failure.kinds.join(', ')}. Name its kind with --as.`;
    case 'logFailed':
      return formatPlatformFailure('log', failure.failure);
    case 'hostListFailed':
      return formatPlatformFailure('list of hosts', failure.failure);
    case 'configurationTrimmed':
      return `The log only keeps records from offset ${failure.earliestOffset} on and has no checkpoint that covers the earlier ones. Running processes keep their configuration and append a checkpoint; try again shortly.`;
    case 'noConfiguration':
      return 'No configuration is published yet. Publish one with: parsleyhall configuration publish FILE.';
    case 'lostRace':
      return `Lost the race: ${failure.winner ?? 'another operator'} changed the configuration to version ${failure.currentVersion} while this change was based on ${failure.base}. Your change is not in force. Review the current configuration with: parsleyhall configuration show, then repeat your command if it still applies.`;
    case 'refused':
      return `Refused: ${formatVerdict(failure.verdict)}`;
    case 'outcomeUnsettled':
      return `It is not known whether the log took the change (publication ${failure.publicationId}): it could not be read back yet. It may still come into force, but only while version ${failure.base} is the current one. Check with: parsleyhall configuration show.`;
    case 'keyRunning':
      return `Key ${failure.key} is recorded as running: its entry may still respond. If that entry is gone for good and you know the outcome of the run, add --owner-gone.`;
    case 'keySettled':
      return `Key ${failure.key} is ${failure.condition}: there is nothing to settle.`;
    case 'noReport':
      return `There is nothing to report on: ${failure.detail}.`;
    case 'requestUnknown':
      return `None of ${failure.lines} lines is about ${failure.id}; ${failure.unreadable} more could not be read. Pass the caller's attempt id, the request id, or HOST/NUMBER of an entry, and the log lines of every entry.`;
    default:
      return assertNever(failure);
  }
};
