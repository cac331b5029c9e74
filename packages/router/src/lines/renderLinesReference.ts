import { OBSERVATIONS } from '@parsleyhall/routing';
import { PROCESS_FIELDS } from './processFields.js';
import { PROCESS_LINES } from './processLines.js';

interface LineKind {
  readonly level?: string;
  readonly text: string;
  readonly fields: readonly string[];
  readonly optional: readonly string[];
}

const formatNames = (names: readonly string[]): string =>
  names.map((name) => `\`${name}\``).join(', ');

const renderLines = (lines: Readonly<Record<string, LineKind>>): readonly string[] => [
  '| event | level | meaning | fields | at times |',
  '| --- | --- | --- | --- | --- |',
  ...Object.entries(lines).map(
    ([name, { level = 'info', text, fields, optional }]) =>
      `| \`${name}\` | ${level} | ${text} | ${formatNames(fields)} | ${formatNames(optional)} |`,
  ),
];

const renderFields = (): readonly string[] => {
  const fields = Object.entries(PROCESS_FIELDS);
  return [
    '| field | type | what it holds |',
    '| --- | --- | --- |',
    ...fields
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([name, { type, text }]) => `| \`${name}\` | ${type} | ${text} |`),
  ];
};

/** Renders the reference of every log line of the router, as Markdown. */
export const renderLinesReference = (): string =>
  [
    "# The router's log lines",
    '',
    'Made from the catalogues in the code by `npm run docs:lines`; a test fails when it is not current. The types of the',
    'code let no line leave out a field or carry one that is not listed.',
    '',
    'Each line is a JSON object with `name`, `process`, `host`, `dataCentre`, `level` (30 info, 40 warn, 50 error), `time` and the',
    'event in `event`. A key or a body never appears.',
    '',
    '## Decisions',
    '',
    ...renderLines(OBSERVATIONS),
    '',
    '## The process',
    '',
    ...renderLines(PROCESS_LINES),
    '',
    '## Fields',
    '',
    ...renderFields(),
    '',
  ].join('\n');
