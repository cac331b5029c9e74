import {
  entrySettingsFileSchema,
  sideSettingsFileSchema,
  startEntry,
  startFromFile,
  startSide,
} from '@parsleyhall/daemon';
import { createEntryReducer } from '@parsleyhall/entry';
import { createSideReducer } from '@parsleyhall/side';
import { getDecisions } from '../policies/getDecisions.js';
import { POLICY_NAMES } from '../policies/policyNames.js';

const BAD_USE_EXIT_CODE = 2;

// The product's binaries load no code, so the plain policies start its shells from here.
const run = async ([
  policyName,
  without = '',
  role,
  ,
  path = '',
]: readonly string[]): Promise<number> => {
  const policy = POLICY_NAMES.find((name) => name === policyName);
  if (policy === undefined) {
    process.stderr.write(`expected one of: ${POLICY_NAMES.join(', ')}\n`);
    return BAD_USE_EXIT_CODE;
  }
  const decisions = getDecisions(policy, without);
  return role === 'entry'
    ? startFromFile({
        path,
        schema: entrySettingsFileSchema,
        start: (options) =>
          startEntry({
            ...options,
            createReducer: (settings) => createEntryReducer(settings, decisions.entry),
          }),
      })
    : startFromFile({
        path,
        schema: sideSettingsFileSchema,
        start: (options) =>
          startSide({
            ...options,
            createReducer: (settings) => createSideReducer(settings, decisions.side),
          }),
      });
};

process.exit(await run(process.argv.slice(2)));
