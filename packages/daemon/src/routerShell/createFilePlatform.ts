import { readFileSync } from 'node:fs';
import { Either } from 'purify-ts';
import { getClocks } from '@parsleyhall/router';
import type { Logger, PlatformLink, RouterInputs } from '@parsleyhall/router';
import { checkSettings } from '../settings/checkSettings.js';
import type { RoutingDocument } from '../settings/routingDocument.js';
import { routingDocumentSchema } from '../settings/routingDocumentSchema.js';

const CHECK_PERIOD_MS = 500;

const readText = (path: string): Either<string, string> =>
  Either.encase(() => readFileSync(path, 'utf8')).mapLeft(({ message }) => message);

const parseDocument = (text: string): Either<string, RoutingDocument> =>
  checkSettings(routingDocumentSchema, text).mapLeft((faults) =>
    faults
      .map(({ path, found, allowed }) => `${path}: found ${found}, allowed ${allowed}`)
      .join('; '),
  );

const tell = ({ targets, ...configuration }: RoutingDocument, inputs: RouterInputs): void => {
  inputs.handleConfiguration({
    ...configuration,
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
 * Follows a routing document in a file, in place of a platform. A faulty one leaves the last in force, of which it is
 * then not known that it is the newest. What was taken of quotas is not kept over a restart.
 */
export const createFilePlatform = (path: string, lines: Logger): PlatformLink => {
  let inputs: RouterInputs | undefined;
  /** The latest text, or why there was none. */
  let seen: Either<string, string> | undefined;
  let isGood = false;
  let checking: NodeJS.Timeout | undefined;

  const take = (read: Either<string, string>): void => {
    const document = read.chain(parseDocument);
    isGood = document.isRight();
    document
      .ifRight((good) => {
        if (inputs !== undefined) {
          tell(good, inputs);
        }
      })
      .ifLeft((fault) => {
        lines.write({ name: 'configurationMalformed', fields: { fault } });
      });
  };

  const check = (): void => {
    const askedAt = getClocks();
    const read = readText(path);
    if (seen?.equals(read) !== true) {
      seen = read;
      take(read);
    }
    if (isGood) {
      inputs?.handleConfigurationConfirmed(askedAt);
      inputs?.handleTargetsConfirmed();
    }
  };

  return {
    follow: (given) => {
      inputs = given;
      check();
      checking = setInterval(check, CHECK_PERIOD_MS);
    },
    confirmConfiguration: check,
    persistQuotaUsage: () => undefined,
    [Symbol.asyncDispose]: () => {
      clearInterval(checking);
      return Promise.resolve();
    },
  };
};
