import { OBSERVATIONS } from '@parsleyhall/routing';
import { LOG_FIELDS } from './logFields.js';
import { PROCESS_LOG_EVENTS } from './processLogEvents.js';

interface LogEventDescription {
  readonly level?: string;
  readonly text: string;
  readonly fields: readonly string[];
  readonly optional: readonly string[];
}

const formatNames = (names: readonly string[]): string =>
  names.map((name) => `\`${name}\``).join(', ');

const renderEvents = (events: Readonly<Record<string, LogEventDescription>>): readonly string[] => [
  '| event | level | meaning | fields | optional fields |',
  '| --- | --- | --- | --- | --- |',
  ...Object.entries(events).map(
    ([name, { level = 'info', text, fields, optional }]) =>
      `| \`${name}\` | ${level} | ${text} | ${formatNames(fields)} | ${formatNames(optional)} |`,
  ),
];

const renderFields = (): readonly string[] => {
  const fields = Object.entries(LOG_FIELDS);
  return [
    '| field | type | meaning |',
    '| --- | --- | --- |',
    ...fields
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([name, { type, text }]) => `| \`${name}\` | ${type} | ${text} |`),
  ];
};

/** Renders the reference of the router's log events, as Markdown. */
export const renderLogReference = (): string =>
  [
    "# The router's log lines",
    '',
    'Generated from the event definitions in the code by `npm run docs:lines`; a test fails if it is out of date. The types',
    'in the code ensure that each line has all the listed fields and no others.',
    '',
    'Each line is a JSON object with `name`, `process`, `host`, `dataCentre`, `level` (30 info, 40 warn, 50 error), `time` and the',
    "event in `event`. Teams' keys and the bodies of requests are never logged.",
    '',
    '## Decisions',
    '',
    ...renderEvents(OBSERVATIONS),
    '',
    '## The process',
    '',
    ...renderEvents(PROCESS_LOG_EVENTS),
    '',
    '## Fields',
    '',
    ...renderFields(),
    '',
  ].join('\n');
