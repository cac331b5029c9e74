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

const RESTART_DELAY_MS = 300;
const READY_CHECK_INTERVAL_MS = 50;
/** A load balancer detects a shutdown after this time. */
const SHUTDOWN_DETECTION_MS = 1_000;
const STOP_WITHIN_MS = 8_000;

const DAEMON_MAIN_PATH = fileURLToPath(new URL('../../../daemon/dist/main.js', import.meta.url));

const isReady = async (address: string): Promise<boolean> => {
  try {
    return (await fetch(`http://${address}/ready`)).status === 200;
  } catch {
    return false;
  }
};

/** Starts an entry with the given routing document. */
export const startSoakEntry = async ({
  index,
  directory,
  routingPath,
  peers,
  disturbances,
  trustedPromptParts,
  stopSignal,
}: {
  readonly index: number;
  /** For the settings and the logs of the process. */
  readonly directory: string;
  readonly routingPath: string;
  readonly peers: { readonly ips: readonly string[]; readonly port: number };
  /** Each kill, pause and stop of the entry is added here. */
  readonly disturbances: Disturbance[];
  readonly trustedPromptParts: readonly string[];
  /** The signal for a graceful shutdown. */
  readonly stopSignal: 'SIGTERM' | 'SIGKILL';
}): Promise<SoakEntry> => {
  // Each entry has its own IP address, so that nothing else takes its ports during a restart.
  const ip = peers.ips[index] ?? '127.0.0.1';
  const port = await findFreePort(ip);
  const readinessAddress = `${ip}:${port + 1}`;
  const settingsPath = join(directory, `entry-${index}.json`);
  const logFile = openSync(join(directory, `entry-${index}.log`), 'a');
  writeFileSync(
    settingsPath,
    JSON.stringify({
      process: `entry-${index}`,
      host: `host-${index}`,
      dataCentre: 'here',
      routing: routingPath,
      callersAddress: `${ip}:${port}`,
      readinessAddress,
      metricsAddress: '127.0.0.1:0',
      peers: { ip, port: peers.port, addresses: peers.ips.filter((other) => other !== ip) },
      stopWithinMs: STOP_WITHIN_MS,
      trustedPromptParts,
    }),
  );

  const startProcess = async (): Promise<ChildProcess> => {
    const startedProcess = spawn(
      process.execPath,
      [DAEMON_MAIN_PATH, 'router', '--settings', settingsPath],
      {
        stdio: ['ignore', logFile, logFile],
      },
    );
    while (!(await isReady(readinessAddress)) && startedProcess.exitCode === null) {
      await sleep(READY_CHECK_INTERVAL_MS);
    }
    return startedProcess;
  };

  const endProcess = async (signal: 'SIGKILL' | 'SIGTERM'): Promise<void> => {
    if (child.exitCode === null && child.signalCode === null) {
      const exited = once(child, 'exit');
      child.kill(signal);
      await exited;
    }
  };

  let child = await startProcess();
  let isAcceptingRequests = true;
  /** Settles once the last disturbance so far is over; the next one starts only then. */
  let lastDisturbance: Promise<void> = Promise.resolve();

  const runDisturbance = (
    kind: Disturbance['kind'],
    action: () => Promise<void>,
  ): Promise<void> => {
    lastDisturbance = lastDisturbance.then(async () => {
      const disturbance: Disturbance = { entry: index, kind, fromMs: getNowMs() };
      disturbances.push(disturbance);
      await action();
      disturbance.untilMs = getNowMs();
    });
    return lastDisturbance;
  };

  const restartProcess = async (): Promise<void> => {
    await sleep(RESTART_DELAY_MS);
    child = await startProcess();
    isAcceptingRequests = true;
  };

  return {
    ip,
    port,
    isAcceptingRequests: () => isAcceptingRequests,
    kill: () =>
      runDisturbance('killed', async () => {
        isAcceptingRequests = false;
        await endProcess('SIGKILL');
        await restartProcess();
      }),
    stop: () =>
      runDisturbance('stopped', async () => {
        const detectionTimer = setTimeout(() => {
          isAcceptingRequests = false;
        }, SHUTDOWN_DETECTION_MS);
        await endProcess(stopSignal);
        clearTimeout(detectionTimer);
        isAcceptingRequests = false;
        await restartProcess();
      }),
    pause: (forMs) =>
      runDisturbance('paused', async () => {
        child.kill('SIGSTOP');
        await sleep(forMs);
        child.kill('SIGCONT');
      }),
    [Symbol.asyncDispose]: async () => {
      await lastDisturbance;
      await endProcess('SIGKILL');
      closeSync(logFile);
    },
  };
};
