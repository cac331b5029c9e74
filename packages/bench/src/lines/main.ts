import { mkdtemp, readFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { MS_PER_SECOND } from '@parsleyhall/common';
import { exitOnSignals } from '../cluster/exitOnSignals.js';
import { ProcessGroup } from '../cluster/processGroup.js';
import { formatTable } from '../report/formatTable.js';
import { readUsage } from '../report/readUsage.js';
import { runCalls } from './runCalls.js';
import { startEventTarget } from './startEventTarget.js';
import { startMeasuredRouter } from './startMeasuredRouter.js';

const MODES = ['on', 'off'] as const;
const MEDIAN = 50;
const NINETY_NINE = 99;

const { values } = parseArgs({
  options: {
    callers: { type: 'string', default: '60' },
    seconds: { type: 'string', default: '20' },
  },
});
const callers = Number(values.callers);
const forMs = Number(values.seconds) * MS_PER_SECOND;

exitOnSignals();
await using target = await startEventTarget();
await using group = new ProcessGroup(await mkdtemp(join(tmpdir(), 'parsleyhall-')));

const measure = async (mode: (typeof MODES)[number]): Promise<readonly string[]> => {
  const { name, listening } = await startMeasuredRouter(group, mode, target.address);
  const { whole, other, firstMs } = await runCalls(String(listening.callers), callers, forMs);
  const { cpuSeconds } = await readUsage(String(listening.metrics));
  const written = await readFile(join(group.folder, `${name}.log`), 'utf8');
  return [
    mode,
    String(whole),
    String(other),
    String(firstMs.getValueAtPercentile(MEDIAN)),
    String(firstMs.getValueAtPercentile(NINETY_NINE)),
    cpuSeconds.toFixed(2),
    ((cpuSeconds * MS_PER_SECOND) / Math.max(1, whole)).toFixed(2),
    String(written.split('\n').length - 1),
    String(Buffer.byteLength(written)),
  ];
};

// Both at once, so that whatever else the machine does meets both alike.
const rows = await Promise.all(MODES.map(measure));
console.log(
  formatTable(
    [
      'lines',
      'whole answers',
      'other answers',
      'first bytes p50 ms',
      'p99 ms',
      'processor s',
      'ms an answer',
      'lines written',
      'bytes',
    ],
    rows,
  ),
);
