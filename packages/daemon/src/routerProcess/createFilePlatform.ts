import { readFileSync } from 'node:fs';
import { Either } from 'purify-ts';
import { getClocks } from '@parsleyhall/router';
import type { Logger, PlatformLink, RouterInputs } from '@parsleyhall/router';
import { checkSettings } from '../settings/checkSettings.js';
import type { RoutingDocument } from '../settings/routingDocument.js';
import { routingDocumentSchema } from '../settings/routingDocumentSchema.js';

const CHECK_INTERVAL_MS = 500;

const readText = (path: string): Either<string, string> =>
  Either.encase(() => readFileSync(path, 'utf8')).mapLeft(({ message }) => message);

const parseDocument = (text: string): Either<string, RoutingDocument> =>
  checkSettings(routingDocumentSchema, text).mapLeft((faults) =>
    faults
      .map(({ path, found, allowed }) => `${path}: found ${found}, allowed ${allowed}`)
      .join('; '),
  );

const applyDocument = (
  { targets, ...configuration }: RoutingDocument,
  inputs: RouterInputs,
): void => {
  inputs.handleConfiguration({
    ...configuration,
    areKeysUsed: configuration.teams.length > 0,
    teams: configuration.teams.map(({ name, keys, priority, quota }) => ({
      name,
      keys,
      ...(priority === undefined ? {} : { priority }),
      ...(quota === undefined ? {} : { quota }),
    })),
  });
  inputs.handleTargets(targets);
};

/**
 * Reads the configuration and the targets from a routing document in a file, in place of a platform, and polls it for
 * changes. After a faulty read the last valid document stays active, but it is no longer confirmed as the newest one.
 * Quota usage is not persisted across restarts.
 */
export const createFilePlatform = (path: string, logger: Logger): PlatformLink => {
  let inputs: RouterInputs | undefined;
  /** The text of the last read, or why the file could not be read. */
  let lastRead: Either<string, string> | undefined;
  let isDocumentValid = false;
  let checkTimer: NodeJS.Timeout | undefined;

  const handleRead = (read: Either<string, string>): void => {
    const document = read.chain(parseDocument);
    isDocumentValid = document.isRight();
    document
      .ifRight((valid) => {
        if (inputs !== undefined) {
          applyDocument(valid, inputs);
        }
      })
      .ifLeft((fault) => {
        logger.write({ name: 'configurationMalformed', fields: { fault } });
      });
  };

  const check = (): void => {
    const checkStartedAt = getClocks();
    const read = readText(path);
    if (lastRead?.equals(read) !== true) {
      lastRead = read;
      handleRead(read);
    }
    if (isDocumentValid) {
      inputs?.handleConfigurationConfirmed(checkStartedAt);
      inputs?.handleTargetsConfirmed();
    }
  };

  return {
    follow: (routerInputs) => {
      inputs = routerInputs;
      check();
      checkTimer = setInterval(check, CHECK_INTERVAL_MS);
    },
    confirmConfiguration: check,
    persistQuotaUsage: () => undefined,
    persistQuarantines: () => undefined,
    writeRolloutStatus: () => undefined,
    [Symbol.asyncDispose]: () => {
      clearInterval(checkTimer);
      return Promise.resolve();
    },
  };
};
