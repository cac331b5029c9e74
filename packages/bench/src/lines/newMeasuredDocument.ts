const TARGETS = 10;
const SLOTS = 12;

/** A routing document with one route and ten targets at an address. */
export const newMeasuredDocument = (address: string) => ({
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
      priority: 0,
      maxAttempts: 1,
      isAnonymousAllowed: true,
    },
  ],
  services: [{ name: 'engines', maxConnections: 400 }],
  targets: Array.from({ length: TARGETS }, (_, index) => ({
    id: `target-${index}`,
    service: 'engines',
    address,
    dataCentre: 'here',
    slots: SLOTS,
  })),
});
