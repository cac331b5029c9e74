import type { ProcessStatus } from '@parsleyhall/clients';
import { formatTable } from '../commandLine/formatTable.js';
import type { ProcessReport } from './processReport.js';

const HEAD = [
  'process',
  'role',
  'host',
  'data centre',
  'state',
  'version',
  'preset',
  'window',
  'running 1-4',
  'waiting 1-4',
];

const getState = ({ listed, status }: ProcessReport): string =>
  status.caseOf({
    Left: (failure) => `no answer: ${'detail' in failure ? failure.detail : failure.type}`,
    Right: ({ isLeaving }) => (isLeaving || listed.state === 'leaving' ? 'leaving' : 'live'),
  });

const formatVersion = (status: ProcessStatus, newestVersion: number): string => {
  const { configurationVersion } = status;
  if (configurationVersion === 0) {
    return 'none, not serving';
  }
  return configurationVersion < newestVersion
    ? `${configurationVersion} behind`
    : String(configurationVersion);
};

const formatProcess = (report: ProcessReport, newestVersion: number): readonly string[] => {
  const { listed, status } = report;
  const known = status.map((value) => [
    formatVersion(value, newestVersion),
    value.presetInForce ?? '',
    value.windowRequests === undefined ? '' : String(value.windowRequests),
    value.runningByTier.join(' '),
    value.waitingByTier.join(' '),
  ]);
  return [
    listed.process,
    listed.role === 'entry' ? 'entry' : 'side',
    listed.host,
    listed.dataCentre,
    getState(report),
    ...known.orDefault(['', '', '', '', '']),
  ];
};

const formatShedding = (statuses: readonly ProcessStatus[]): readonly string[] =>
  statuses
    .filter(({ shedding }) => shedding.lowestTierAdmitted < 4)
    .map(
      ({ process, shedding }) =>
        `${process} sheds below tier ${shedding.lowestTierAdmitted}: ${shedding.reason ?? 'no reason given'}`,
    );

const formatSide = (side: ProcessStatus['sides'][number]): string =>
  side.isConnected ? side.side : `${side.side} (not connected)`;

const formatDisconnectedSides = (statuses: readonly ProcessStatus[]): readonly string[] =>
  statuses
    .filter(({ sides }) => sides.some(({ isConnected }) => !isConnected))
    .map(({ process, sides }) => `${process} is linked to: ${sides.map(formatSide).join(', ')}`);

const compareReports = (
  { listed: left }: ProcessReport,
  { listed: right }: ProcessReport,
): number =>
  left.role.localeCompare(right.role, 'en') || left.process.localeCompare(right.process, 'en');

/** Formats a table of the processes, then lists those with an old configuration, shed tiers and disconnected side processes. */
export const formatStatus = (reports: readonly ProcessReport[]): string => {
  const statuses = reports.flatMap(({ status }) => status.map((value) => [value]).orDefault([]));
  const newestVersion = Math.max(0, ...statuses.map((status) => status.configurationVersion));
  const behind = statuses.filter((status) => status.configurationVersion < newestVersion);
  const silent = reports.length - statuses.length;
  return [
    formatTable({
      head: HEAD,
      rows: [...reports].sort(compareReports).map((report) => formatProcess(report, newestVersion)),
    }),
    `newest version: ${newestVersion}; behind it: ${behind.map(({ process }) => process).join(', ') || 'none'}; without an answer: ${silent}`,
    ...formatShedding(statuses),
    ...formatDisconnectedSides(statuses),
  ].join('\n');
};
