import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { RouterUnderLoad } from './routerUnderLoad.js';
import { startLargeTarget } from './startLargeTarget.js';

const MAIN_SCRIPT = fileURLToPath(new URL('../../../../daemon/dist/main.js', import.meta.url));
const DEFAULT_HEAP_MIB = 64;
const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/** The largest head that the parser takes. */
const MAX_HEADER_BYTES = 65_536;
const BYTES_PER_KIB = 1_024;
const DEFAULT_SLOTS = 8;
/** Longer than a test, so that no request ends because of its route. */
const ROUTE_TIMEOUT_MS = 600_000;

/** The limits of callers that a test sets, as in the settings file. */
interface CallerLimitSettings {
  readonly hostMemoryMb?: number;
  readonly bodyTimeoutMs?: number;
  readonly unreadTimeoutMs?: number;
}

const createDocument = (targetAddress: string, maxBodyBytes: number, slots: number): object => ({
  version: 1,
  routes: [
    {
      name: 'data',
      host: '127.0.0.1',
      pathPrefix: '/data/',
      kind: 'nonIdempotent',
      destinations: [{ service: 'portal', weight: 1 }],
      timeoutMs: ROUTE_TIMEOUT_MS,
      objectiveMs: ROUTE_TIMEOUT_MS,
      longestSilenceMs: ROUTE_TIMEOUT_MS,
      priority: 0,
      maxAttempts: 1,
      isAnonymousAllowed: true,
    },
  ],
  services: [{ name: 'portal', maxConnections: 100 }],
  targets: [{ id: 'p1', service: 'portal', address: targetAddress, dataCentre: 'here', slots }],
  limits: { maxBodyBytes, maxHeaderBytes: MAX_HEADER_BYTES },
});

const createSettings = (routing: string, callerLimits: CallerLimitSettings): object => ({
  process: 'router-1',
  host: 'front-1',
  dataCentre: 'here',
  routing,
  callersAddress: '127.0.0.1:0',
  readinessAddress: '127.0.0.1:0',
  metricsAddress: '127.0.0.1:0',
  peers: { ip: '127.0.0.1', port: 0 },
  callerLimits: { bodyTimeoutMs: 5_000, unreadTimeoutMs: 1_000, ...callerLimits },
});

const readPeakMemoryBytes = (pid: number): number => {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? Infinity) * BYTES_PER_KIB;
};

/** Starts the router as a process with a small heap and a small limit of bodies, and a target for it. */
export const startRouterUnderLoad = async ({
  heapMib = DEFAULT_HEAP_MIB,
  maxBodyBytes = DEFAULT_MAX_BODY_BYTES,
  slots = DEFAULT_SLOTS,
  callerLimits = {},
}: {
  readonly heapMib?: number;
  readonly maxBodyBytes?: number;
  /** Requests that the target takes at a time. */
  readonly slots?: number;
  readonly callerLimits?: CallerLimitSettings;
} = {}): Promise<RouterUnderLoad> => {
  const target = await startLargeTarget();
  const directory = mkdtempSync(join(tmpdir(), 'parsleyhall-callers-'));
  const settingsPath = join(directory, 'settings.json');
  const routingPath = join(directory, 'routing.json');
  writeFileSync(routingPath, JSON.stringify(createDocument(target.address, maxBodyBytes, slots)));
  writeFileSync(settingsPath, JSON.stringify(createSettings(routingPath, callerLimits)));
  const child = spawn(
    process.execPath,
    [
      `--max-old-space-size=${heapMib}`,
      '--max-semi-space-size=4',
      MAIN_SCRIPT,
      'router',
      '--settings',
      settingsPath,
    ],
    { stdio: ['ignore', 'pipe', 'ignore'] },
  );
  const exited = once(child, 'exit');
  const kill = (): void => {
    child.kill('SIGKILL');
  };
  // A test that runs out of time does not dispose of the router.
  process.once('exit', kill);
  const lines = createInterface({ input: child.stdout });
  const callersAddress = await new Promise<string>((resolve) => {
    lines.on('line', (text) => {
      if (!text.includes('"event":"listening"')) {
        return;
      }
      const { callers } = JSON.parse(text) as { readonly callers: string };
      resolve(callers);
    });
  });
  const pid = child.pid ?? 0;
  return {
    callersAddress,
    isAlive: () => child.exitCode === null && child.signalCode === null,
    getPeakMemoryBytes: () => readPeakMemoryBytes(pid),
    countDescriptors: () => readdirSync(`/proc/${pid}/fd`).length,
    countBegunResponses: target.countBegunResponses,
    countOpenResponses: target.countOpenResponses,
    countHeldResponses: target.countHeldResponses,
    releaseHeld: target.releaseHeld,
    [Symbol.asyncDispose]: async () => {
      kill();
      await exited;
      process.off('exit', kill);
      await target[Symbol.asyncDispose]();
      rmSync(directory, { recursive: true, force: true });
    },
  };
};
