import type { IncomingHttpHeaders } from 'node:http';
import type { ListedTarget, Route, RoutingConfiguration } from '@parsleyhall/routing';
import { getClocks, startRouter } from '../../src/index.js';
import type { HeaderCodec, RouterInputs, Logger, RunningRouter } from '../../src/index.js';
import { silentLogger } from './silentLogger.js';
import { createTestRoute } from './createTestRoute.js';
import type { RawTarget } from './rawTarget.js';

const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
};

interface TestRouter extends RunningRouter {
  /** Passes the list of targets to the router again, with this many slots each. */
  readonly listTargets: (options: { readonly slots: number }) => void;
}

const DEFAULT_SLOTS = 10;
const DEFAULT_STOP_WITHIN_MS = 8_000;

const codec: HeaderCodec = {
  readRequestHeaders: (headers) => {
    const attemptId = readHeader(headers, 'attempt');
    const lastEventId = readHeader(headers, 'last-event-id');
    return {
      ...(attemptId === undefined ? {} : { attemptId }),
      ...(lastEventId === undefined ? {} : { lastEventId }),
    };
  },
  reservedHeaders: new Set(['last-event-id', 'team', 'left']),
  writeRequestHeaders: ({ remainingMs, lastEventId }) => [
    'Left',
    String(remainingMs),
    ...(lastEventId === undefined ? [] : ['Last-Event-Id', lastEventId]),
  ],
  eventFormat: {
    isNumbered: true,
    firstNumber: 1,
    isIdFirst: true,
    extraFields: new Set(['version']),
  },
  readResponseHeaders: (_, headers) => {
    const attemptId = readHeader(headers, 'attempt');
    return {
      ...(attemptId === undefined ? {} : { attemptId }),
      isSigned: headers.seal !== undefined,
      isNotRun: headers['not-run'] !== undefined,
      isLeaving: headers.leaving !== undefined,
    };
  },
};

const configuration: RoutingConfiguration = {
  version: 1,
  routes: (['idempotent', 'nonIdempotent', 'stream', 'resumableStream'] as const).map(
    createTestRoute,
  ),
  services: [],
  areKeysUsed: false,
  teams: [],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

const createListedTarget = (
  { address }: Pick<RawTarget, 'address'>,
  slots: number,
): ListedTarget => ({
  id: address,
  service: 'one',
  address,
  dataCentre: 'here',
  slots,
  isLeaving: false,
});

/** Starts a router on the loopback interface for these targets, without a platform. */
export const startTestRouter = async (
  targets: readonly Pick<RawTarget, 'address'>[],
  {
    logger: logger = silentLogger,
    slots = DEFAULT_SLOTS,
    routes = configuration.routes,
    stopWithinMs = DEFAULT_STOP_WITHIN_MS,
    maxBodyBytes = configuration.limits.maxBodyBytes,
  }: {
    readonly logger?: Logger;
    readonly slots?: number;
    readonly routes?: readonly Route[];
    readonly stopWithinMs?: number;
    readonly maxBodyBytes?: number;
  } = {},
): Promise<TestRouter> => {
  let inputs: RouterInputs | undefined;
  const router = await startRouter({
    settings: {
      host: 'self',
      dataCentre: 'here',
      ip: '127.0.0.1',
      callersAddress: '127.0.0.1:0',
      readinessAddress: '127.0.0.1:0',
      readinessPath: '/ready',
      metricsAddress: '127.0.0.1:0',
      peerPort: 0,
      peerAddresses: [],
      retries: { ratio: 0.2, windowMs: 10_000, slack: 50 },
      quotas: { windowMs: 8_000, overshoot: 0, slack: 0 },
      trustedPromptParts: [],
      longestUnconfirmedMs: 4_850,
      stopWithinMs,
    },
    codec,
    logger: logger,
    platform: {
      follow: (platformInputs) => {
        inputs = platformInputs;
      },
      confirmConfiguration: () => undefined,
      persistQuotaUsage: () => undefined,
      persistQuarantines: () => undefined,
      writeRolloutStatus: () => undefined,
      [Symbol.asyncDispose]: () => Promise.resolve(),
    },
  });
  inputs?.handleConfiguration({
    ...configuration,
    routes,
    limits: { ...configuration.limits, maxBodyBytes },
  });
  inputs?.handleConfigurationConfirmed(getClocks());
  const listTargets = (options: { readonly slots: number }): void => {
    inputs?.handleTargets(targets.map((target) => createListedTarget(target, options.slots)));
  };
  listTargets({ slots });
  return { ...router, listTargets };
};
