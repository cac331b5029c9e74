import { createHash } from 'node:crypto';

const TIERS = [1, 2, 3, 4].map((tier) => ({
  tier,
  objective: 0.95,
  deadlineMs: 60_000,
}));

/** A configuration document with one team without a token, one with, an engine pool and a service pool. */
export const TEST_CONFIGURATION = {
  teams: [
    { name: 'branches' },
    { name: 'sealed', tokenSha256: createHash('sha256').update('secret').digest('hex') },
  ],
  pools: [
    { name: 'language', kind: 'engine', models: ['small'] },
    {
      name: 'portal',
      kind: 'service',
      nonIdempotentCalls: [{ method: 'POST', pathPrefix: '/domains' }],
    },
  ],
  presets: [{ name: 'ordinary', tiers: TIERS }],
  initialPreset: 'ordinary',
} as const;
