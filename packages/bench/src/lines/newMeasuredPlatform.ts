import type { PlatformLink } from '@parsleyhall/router';

const TARGETS = 10;
const SLOTS = 12;

/** A platform that tells once of one route and of ten targets at an address. */
export const newMeasuredPlatform = (address: string): PlatformLink => ({
  follow: (inputs) => {
    inputs.takeConfiguration({
      version: 1,
      routes: [
        {
          name: 'stream',
          host: '127.0.0.1',
          pathPrefix: '/',
          kind: 'stream',
          destinations: [{ service: 'engines', weight: 1 }],
          timeoutMs: 15_000,
          objectiveMs: 800,
          longestSilenceMs: 3_200,
          priority: 0,
          maxAttempts: 1,
          isAnonymousAllowed: true,
        },
      ],
      services: [{ name: 'engines', healthPath: '/', maxConnections: 400 }],
      teams: [],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    });
    inputs.takeTargets(
      Array.from({ length: TARGETS }, (_, index) => ({
        id: `target-${index}`,
        service: 'engines',
        address,
        dataCentre: 'here',
        slots: SLOTS,
        isLeaving: false,
      })),
    );
  },
  confirmConfiguration: () => undefined,
  rememberQuotas: () => undefined,
  [Symbol.asyncDispose]: () => Promise.resolve(),
});
