import { isIP } from 'node:net';
import { z } from 'zod';
import type { OperatorSettings } from './operatorSettings.js';

const HIGHEST_PORT = 65_535;
const ADDRESS = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;

const isAddress = (text: string): boolean => {
  const [, six, four, portText] = ADDRESS.exec(text) ?? [];
  const port = Number(portText);
  return isIP(six ?? four ?? '') !== 0 && port > 0 && port <= HIGHEST_PORT;
};

const address = z
  .string()
  .refine(isAddress, 'an IP number and a port, such as 10.0.0.1:7000 or [::1]:7000')
  .describe('IP number and port');

/** Checks and types the operator's settings. */
export const operatorSettingsSchema: z.ZodType<OperatorSettings> = z.strictObject({
  log: z.strictObject({ address }).describe("The platform's log service"),
  hostList: z.strictObject({ address }).describe("The platform's list of hosts"),
  operator: z
    .string()
    .min(1)
    .max(64)
    .describe('Who the operator is; shown to others when this one wins a race'),
});
