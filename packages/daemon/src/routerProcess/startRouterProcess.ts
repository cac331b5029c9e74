import { toOptionalField } from '@parsleyhall/common';
import {
  createBoundedOutput,
  createLogger as createRouterLogger,
  logUnexpectedErrors,
  startRouter,
} from '@parsleyhall/router';
import type { RouterSettings } from '@parsleyhall/router';
import type { RunningProcess } from '../process/runningProcess.js';
import type { RouterSettingsFile } from '../settings/routerSettingsFile.js';
import { createFilePlatform } from './createFilePlatform.js';
import { defaultCallCodec } from './defaultCallCodec.js';

const STANDARD_OUTPUT = 1;
const READINESS_PATH = '/ready';

const BYTES_PER_MB = 1_000_000;

const toCallerLimits = ({
  hostMemoryMb,
  ...limits
}: RouterSettingsFile['callerLimits']): NonNullable<RouterSettings['callerLimits']> => ({
  ...limits,
  ...(hostMemoryMb === undefined ? {} : { hostMemoryBytes: hostMemoryMb * BYTES_PER_MB }),
});

const toSettings = (file: RouterSettingsFile): RouterSettings => ({
  host: file.host,
  dataCentre: file.dataCentre,
  ...toOptionalField('crossDataCentre', file.crossDataCentre),
  ip: file.peers.ip,
  callersAddress: file.callersAddress,
  readinessAddress: file.readinessAddress,
  readinessPath: READINESS_PATH,
  metricsAddress: file.metricsAddress,
  peerPort: file.peers.port,
  peerAddresses: file.peers.addresses,
  retries: { ratio: file.retryRatio, slack: file.retrySlack, windowMs: file.retryWindowMs },
  quotas: { windowMs: file.quotaWindowMs, overshoot: 0, slack: 0 },
  trustedPromptParts: file.trustedPromptParts,
  longestUnconfirmedMs: file.longestUnconfirmedMs,
  stopWithinMs: file.stopWithinMs,
  callerLimits: toCallerLimits(file.callerLimits),
});

/**
 * Starts a router that reads a routing document in place of a platform; rejects when a listener cannot bind its address.
 */
export const startRouterProcess = async ({
  file,
  createLogger = createRouterLogger,
}: {
  readonly file: RouterSettingsFile;
  readonly createLogger?: typeof createRouterLogger;
}): Promise<RunningProcess> => {
  const settings = toSettings(file);
  const output = createBoundedOutput(STANDARD_OUTPUT);
  const logger = createLogger({ ...file, level: file.logLevel, output });
  const router = await startRouter({
    settings,
    codec: defaultCallCodec,
    logger,
    platform: createFilePlatform(file.routing, logger),
  });
  const errorLogging = logUnexpectedErrors(logger);
  return {
    listeners: {
      callers: router.callersAddress,
      readiness: router.readinessAddress,
      metrics: router.metricsAddress,
    },
    requestStop: router.requestStop,
    whenStopped: router.whenStopped,
    [Symbol.asyncDispose]: async () => {
      await router[Symbol.asyncDispose]();
      errorLogging[Symbol.dispose]();
      await output[Symbol.asyncDispose]();
    },
  };
};
