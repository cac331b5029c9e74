import { DOCUMENT_KINDS } from '../settings/documentKinds.js';
import { getSettingFields } from './getSettingFields.js';
import type { SettingField } from './settingField.js';

const escapeCell = (text: string): string => text.replaceAll('|', '\\|');

const formatDefault = ({ defaultText, isRequired }: SettingField): string => {
  if (defaultText !== undefined) {
    return `\`${escapeCell(defaultText)}\``;
  }
  return isRequired ? 'required' : 'none';
};

const renderField = (field: SettingField): string =>
  `| \`${field.path}\` | ${field.meaning} | \`${escapeCell(field.allowed)}\` | ${formatDefault(field)} |`;

/** Renders the Markdown reference of every document that operators write. */
export const renderSettingsReference = (): string =>
  [
    '# Settings reference',
    '',
    'Generated from the schemas by `npm run docs:settings`; a test fails when this file is out of date.',
    ...DOCUMENT_KINDS.flatMap(({ name, title, schema }) => [
      '',
      `## ${title}`,
      '',
      `Check a file with \`parsleyhall settings check FILE --as ${name}\`.`,
      '',
      '| field | meaning | allowed | default |',
      '| --- | --- | --- | --- |',
      ...getSettingFields(schema).map(renderField),
    ]),
    '',
  ].join('\n');
