import { z } from 'zod';
import type { Relay } from './relay.js';
import { startRelay } from './startRelay.js';

const settingsSchema = z.strictObject({
  target: z.string(),
  delayMs: z.number().min(0),
  endsWithTarget: z.boolean().default(false),
});

/** Validates the settings and starts a relay. */
export const startRelayStandIn = async (input: object): Promise<Relay> =>
  startRelay(settingsSchema.parse(input));
