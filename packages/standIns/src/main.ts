import { parseArgs } from 'node:util';
import { startEngineStandIn } from './engine/startEngineStandIn.js';
import { startListStandIn } from './list/startListStandIn.js';
import { startLogStandIn } from './log/startLogStandIn.js';
import type { StandIn } from './server/standIn.js';
import { startRelayStandIn } from './relay/startRelayStandIn.js';
import { startServiceStandIn } from './service/startServiceStandIn.js';

type StartFunction = (settings: object) => Promise<StandIn>;

const START_FUNCTIONS: Readonly<Record<string, StartFunction>> = {
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
const start = START_FUNCTIONS[kind];

if (start === undefined) {
  process.stderr.write(
    `unknown kind of stand-in; expected one of: ${Object.keys(START_FUNCTIONS).join(', ')}\n`,
  );
  process.exitCode = 2;
} else {
  // An array of settings starts one stand-in per element, all in this process.
  const parsed = JSON.parse(values.settings) as object | readonly object[];
  const settingsList = Array.isArray(parsed) ? (parsed as readonly object[]) : [parsed];
  const standIns = await Promise.all(settingsList.map((settings) => start(settings)));
  const addresses = standIns.map(({ address }) => address);
  const listening = { event: 'listening', kind, address: addresses[0], addresses };
  process.stdout.write(`${JSON.stringify(listening)}\n`);
  process.on('SIGTERM', () => {
    process.exit(0);
  });
}
