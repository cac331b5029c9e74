import { parseArgs } from 'node:util';
import { startEngineStandIn } from './engine/startEngineStandIn.js';
import { startListStandIn } from './list/startListStandIn.js';
import { startLogStandIn } from './log/startLogStandIn.js';
import type { StandIn } from './server/standIn.js';
import { startRelayStandIn } from './relay/startRelayStandIn.js';
import { startServiceStandIn } from './service/startServiceStandIn.js';

type Start = (settings: object) => Promise<StandIn>;

const STARTS: Readonly<Record<string, Start>> = {
  log: startLogStandIn,
  list: startListStandIn,
  engine: startEngineStandIn,
  service: startServiceStandIn,
  relay: startRelayStandIn,
};

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { settings: { type: 'string', default: '{}' } },
});

const kind = positionals[0] ?? '';
const start = STARTS[kind];

if (start === undefined) {
  process.stderr.write(`expected one of: ${Object.keys(STARTS).join(', ')}\n`);
  process.exitCode = 2;
} else {
  // Several settings in an array start several stand-ins in this process.
  const parsed = JSON.parse(values.settings) as object | readonly object[];
  const all = Array.isArray(parsed) ? (parsed as readonly object[]) : [parsed];
  const running = await Promise.all(all.map((settings) => start(settings)));
  const addresses = running.map(({ address }) => address);
  const listening = { event: 'listening', kind, address: addresses[0], addresses };
  process.stdout.write(`${JSON.stringify(listening)}\n`);
  process.on('SIGTERM', () => {
    process.exit(0);
  });
}
