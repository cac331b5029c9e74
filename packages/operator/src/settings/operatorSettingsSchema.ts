import { isIP } from 'node:net';
import { z } from 'zod';
import type { OperatorSettings } from './operatorSettings.js';

const MAX_PORT = 65_535;
const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;

const isAddress = (text: string): boolean => {
  const [, ipv6, ipv4, portText] = ADDRESS_PATTERN.exec(text) ?? [];
  const port = Number(portText);
  return isIP(ipv6 ?? ipv4 ?? '') !== 0 && port > 0 && port <= MAX_PORT;
};

const addressSchema = z
  .string()
  .refine(isAddress, 'an IP address and a port, such as 10.0.0.1:7000 or [::1]:7000')
  .describe('IP address and port');

/** Validates the operator's settings. */
export const operatorSettingsSchema: z.ZodType<OperatorSettings> = z.strictObject({
  log: z.strictObject({ address: addressSchema }).describe("The platform's log service"),
  hostList: z.strictObject({ address: addressSchema }).describe("The platform's list of hosts"),
  operator: z
    .string()
    .min(1)
    .max(64)
    .describe(
      "The operator's name; shown to operators whose change loses a race against this one's",
    ),
});
