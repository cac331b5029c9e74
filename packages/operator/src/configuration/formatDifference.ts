import type { DocumentDifference } from '@parsleyhall/configuration';
import { formatTable } from '../commandLine/formatTable.js';

const LONGEST_VALUE_CHARACTERS = 60;

const formatValue = (value: string | undefined): string => {
  if (value === undefined) {
    return '';
  }
  return value.length <= LONGEST_VALUE_CHARACTERS
    ? value
    : `${value.slice(0, LONGEST_VALUE_CHARACTERS)}...`;
};

/** Lays out what a publication would change. */
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
