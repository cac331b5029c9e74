import type { DocumentDifference } from '@parsleyhall/configuration';
import { formatTable } from '../commandLine/formatTable.js';

const MAX_VALUE_CHARACTERS = 60;

const formatValue = (value: string | undefined): string => {
  if (value === undefined) {
    return '';
  }
  return value.length <= MAX_VALUE_CHARACTERS
    ? value
    : `${value.slice(0, MAX_VALUE_CHARACTERS)}...`;
};

/** Formats the changes that a publication would make as a table. */
export const formatDifference = (differences: readonly DocumentDifference[]): string =>
  differences.length === 0
    ? 'No difference.'
    : formatTable({
        head: ['path', 'before', 'after'],
        rows: differences.map(({ path, before, after }) => [
          path,
          formatValue(before),
          formatValue(after),
        ]),
      });
