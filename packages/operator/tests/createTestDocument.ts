/** Creates a small configuration document with the given presets. */
export const createTestDocument = (presets: readonly string[]): object => ({
  teams: [{ name: 'audits' }],
  pools: [{ name: 'language', kind: 'engine', models: ['small'] }],
  presets: presets.map((name) => ({
    name,
    tiers: [1, 2, 3, 4].map((tier) => ({ tier, objective: 0.9, deadlineMs: 1_000 * tier })),
    pricePerMillionPrefillTokens: 2,
  })),
  initialPreset: presets[0],
});
