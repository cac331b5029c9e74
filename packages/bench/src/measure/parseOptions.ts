import { MS_PER_SECOND } from '@parsleyhall/common';
import { z } from 'zod';
import { POLICY_NAMES } from '../policies/policyNames.js';
import { SWITCHED_OFF_DECISIONS } from '../policies/switchedOffDecisions.js';
import { BUREAU } from '../workload/bureau.js';
import { NILEGATE } from '../workload/nilegate.js';
import { FAULT_NAMES } from './faultNames.js';
import type { MeasureOptions } from './measureOptions.js';

const NO_POLICY = 'none';

const isListOfDecisions = (list: string): boolean =>
  list === '' || list.split(',').every((name) => name in SWITCHED_OFF_DECISIONS);

const policy = z.enum(POLICY_NAMES);

const settings = z.preprocess(
  (text) => JSON.parse(String(text)) as unknown,
  z.record(z.string(), z.unknown()),
);

const optionsSchema = z.object({
  deployment: z.enum(['nilegate', 'bureau']),
  load: z.coerce.number().positive().max(4),
  fault: z.enum(FAULT_NAMES),
  policy,
  against: z.union([policy, z.literal(NO_POLICY)]),
  without: z
    .string()
    .refine(isListOfDecisions, `some of ${Object.keys(SWITCHED_OFF_DECISIONS).join(', ')}`),
  seed: z.coerce.number().int().min(0),
  seconds: z.coerce.number().positive().max(600),
  scale: z.coerce.number().positive().max(4),
  entry: settings,
  side: settings,
  json: z.string(),
});

/** Checks the options of the command line; throws with every fault at once. */
export const parseOptions = (given: unknown): MeasureOptions => {
  const options = optionsSchema.parse(given);
  const { against } = options;
  return {
    deployment: options.deployment === 'nilegate' ? NILEGATE : BUREAU,
    load: options.load,
    fault: options.fault,
    policies: against === NO_POLICY ? [options.policy] : [options.policy, against],
    without: options.without,
    seed: options.seed,
    durationMs: options.seconds * MS_PER_SECOND,
    timeScale: options.scale,
    entrySettings: options.entry,
    sideSettings: options.side,
    jsonFile: options.json === '' ? undefined : options.json,
  };
};
