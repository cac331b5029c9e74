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

/** Renders the reference of every document that operators write, as Markdown. */
export const renderSettingsReference = (): string =>
  [
    '# Settings reference',
    '',
    'Made from the schemas by `npm run docs:settings`; a test fails when it is not current.',
    ...DOCUMENT_KINDS.flatMap(({ name, title, schema }) => [
      '',
      `## ${title}`,
      '',
      `Check one by \`parsleyhall settings check FILE --as ${name}\`.`,
      '',
      '| field | meaning | allowed | default |',
      '| --- | --- | --- | --- |',
      ...getSettingFields(schema).map(renderField),
    ]),
    '',
  ].join('\n');
