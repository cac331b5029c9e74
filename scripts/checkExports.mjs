import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

// Every source module exports one thing; index files, generated code, settings of tools and tests are exempt.
const EXEMPT = /(\.test\.ts|_pb\.ts|\.d\.ts|config\.ts|\/index\.ts)$/;

const files = execFileSync(
  'git',
  ['ls-files', '--cached', '--others', '--exclude-standard', '*.ts'],
  {
    encoding: 'utf8',
  },
)
  .split('\n')
  .filter((file) => file !== '' && !EXEMPT.test(file));

const faults = files.flatMap((file) => {
  let text;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    return [];
  }
  const count = text.split('\n').filter((line) => line.startsWith('export ')).length;
  return count > 1 ? [`${file}: ${count} exports`] : [];
});

for (const fault of faults) {
  console.error(fault);
}
console.log(`${files.length} modules checked, ${faults.length} with more than one export`);
process.exitCode = faults.length === 0 ? 0 : 1;
