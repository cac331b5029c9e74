import { writeFileSync } from 'node:fs';

/** Creates the record of a case: lines with the time since the start, written to `record.txt` beside the script. */
export const createRecord = (folderUrl) => {
  const startedAtMs = performance.now();
  const lines = [];
  return {
    add: (text, atMs = performance.now()) => {
      lines.push({ atMs, text });
    },
    write: () => {
      const text = lines
        .sort((left, right) => left.atMs - right.atMs)
        .map(
          (line) =>
            `${((line.atMs - startedAtMs) / 1000).toFixed(3).padStart(8)} s  ${line.text}\n`,
        )
        .join('');
      writeFileSync(new URL('record.txt', folderUrl), text);
    },
  };
};
