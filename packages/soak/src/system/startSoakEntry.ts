import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { Disturbance } from '../history/disturbance.js';
import { findFreePort } from './findFreePort.js';
import { getNowMs } from './getNowMs.js';
import type { SoakEntry } from './soakEntry.js';

const RESTART_AFTER_MS = 300;
const READY_CHECK_MS = 50;
/** The balancer notices a stop after so long. */
const NOTICED_AFTER_MS = 1_000;
const STOP_WITHIN_MS = 8_000;

const MAIN = fileURLToPath(new URL('../../../daemon/dist/main.js', import.meta.url));

const isReady = async (address: string): Promise<boolean> => {
  try {
    return (await fetch(`http://${address}/ready`)).status === 200;
  } catch {
    return false;
  }
};

/** Starts an entry that serves by a routing document. */
export const startSoakEntry = async ({
  index,
  directory,
  routing,
  peers,
  disturbances,
}: {
  readonly index: number;
  /** For settings and the process's lines. */
  readonly directory: string;
  readonly routing: string;
  readonly peers: { readonly ips: readonly string[]; readonly port: number };
  /** Takes what is done to it. */
  readonly disturbances: Disturbance[];
}): Promise<SoakEntry> => {
  // Addresses of its own, so that nothing else takes its ports while it is restarted.
  const ip = peers.ips[index] ?? '127.0.0.1';
  const port = await findFreePort(ip);
  const readiness = `${ip}:${port + 1}`;
  const settings = join(directory, `entry-${index}.json`);
  const log = openSync(join(directory, `entry-${index}.log`), 'a');
  writeFileSync(
    settings,
    JSON.stringify({
      process: `entry-${index}`,
      host: `host-${index}`,
      dataCentre: 'here',
      routing,
      callersAddress: `${ip}:${port}`,
      readinessAddress: readiness,
      metricsAddress: '127.0.0.1:0',
      peers: { ip, port: peers.port, addresses: peers.ips.filter((other) => other !== ip) },
      stopWithinMs: STOP_WITHIN_MS,
    }),
  );

  const start = async (): Promise<ChildProcess> => {
    const started = spawn(process.execPath, [MAIN, 'router', '--settings', settings], {
      stdio: ['ignore', log, log],
    });
    while (!(await isReady(readiness)) && started.exitCode === null) {
      await sleep(READY_CHECK_MS);
    }
    return started;
  };

  const end = async (signal: 'SIGKILL' | 'SIGTERM'): Promise<void> => {
    if (child.exitCode === null && child.signalCode === null) {
      const exited = once(child, 'exit');
      child.kill(signal);
      await exited;
    }
  };

  let child = await start();
  let isTaking = true;
  /** What is done to the entry, one thing after the other. */
  let doing: Promise<void> = Promise.resolve();

  const disturb = (kind: Disturbance['kind'], act: () => Promise<void>): Promise<void> => {
    doing = doing.then(async () => {
      const disturbance: Disturbance = { entry: index, kind, fromMs: getNowMs() };
      disturbances.push(disturbance);
      await act();
      disturbance.untilMs = getNowMs();
    });
    return doing;
  };

  const restart = async (): Promise<void> => {
    await sleep(RESTART_AFTER_MS);
    child = await start();
    isTaking = true;
  };

  return {
    ip,
    port,
    isTaking: () => isTaking,
    kill: () =>
      disturb('killed', async () => {
        isTaking = false;
        await end('SIGKILL');
        await restart();
      }),
    stop: () =>
      disturb('stopped', async () => {
        const noticing = setTimeout(() => {
          isTaking = false;
        }, NOTICED_AFTER_MS);
        await end('SIGTERM');
        clearTimeout(noticing);
        isTaking = false;
        await restart();
      }),
    pause: (forMs) =>
      disturb('paused', async () => {
        child.kill('SIGSTOP');
        await sleep(forMs);
        child.kill('SIGCONT');
      }),
    [Symbol.asyncDispose]: async () => {
      await doing;
      await end('SIGKILL');
      closeSync(log);
    },
  };
};
