import { parseArgs } from 'node:util';
import { formatTable } from '../report/formatTable.js';
import { runCalls } from './runCalls.js';
import { startEventTarget } from './startEventTarget.js';
import { startMeasuredRouter } from './startMeasuredRouter.js';

const MS_PER_SECOND = 1_000;
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

await using target = await startEventTarget();

const measure = async (mode: (typeof MODES)[number]): Promise<readonly string[]> => {
  const router = await startMeasuredRouter(target.address, mode);
  const { whole, other, firstMs } = await runCalls(router.address, callers, forMs);
  const { cpuSeconds, lines, bytes } = await router.finish();
  return [
    mode,
    String(whole),
    String(other),
    String(firstMs.getValueAtPercentile(MEDIAN)),
    String(firstMs.getValueAtPercentile(NINETY_NINE)),
    cpuSeconds.toFixed(2),
    ((cpuSeconds * MS_PER_SECOND) / Math.max(1, whole)).toFixed(2),
    String(lines),
    String(bytes),
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
